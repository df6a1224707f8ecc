package cypressvalve.config;

import java.util.List;

/** A file of settings that was refused: every fault found in it, each with file, line, field and what was expected. */
public final class BadSettings extends RuntimeException {
    private static final long serialVersionUID = 1;
    private final transient List<String> faults;

    /** @param faults one line each, in the order of the file */
    public BadSettings(List<String> faults) {
        super(String.join(System.lineSeparator(), faults));
        this.faults = List.copyOf(faults);
    }

    /** One line for each fault. */
    public List<String> faults() {
        return faults;
    }
}
