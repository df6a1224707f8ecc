package cypressvalve.load.trace;

import java.io.IOException;

/** A trace file that is cut or altered, told with the byte at which it stops making sense. */
public final class BadTrace extends IOException {
    private static final long serialVersionUID = 1;
    private final long offset;

    BadTrace(Object file, long offset, String expected) {
        super(file + ": at byte " + offset + ": expected " + expected);
        this.offset = offset;
    }

    /** Bytes from the file's beginning. */
    public long offset() {
        return offset;
    }
}
