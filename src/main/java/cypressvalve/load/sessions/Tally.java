package cypressvalve.load.sessions;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Counts each input line in exactly one class: used, set aside with a reason, or bad. */
public final class Tally {
    /** Bad lines told one by one; the rest are only counted. */
    private static final int SHOWN = 20;

    private long lines;
    private long used;
    private long bad;
    private final Map<String, Long> aside = new TreeMap<>();
    private final List<String> examples = new ArrayList<>();

    /** A line was read; its class follows, now or later. */
    public void line() {
        lines++;
    }

    public void used() {
        used++;
    }

    public void aside(String reason) {
        aside.merge(reason, 1L, Long::sum);
    }

    /** @param where file, line, column and what was expected */
    public void bad(String where) {
        bad++;
        if (examples.size() < SHOWN) {
            examples.add(where);
        }
    }

    public long lines() {
        return lines;
    }

    public long usedLines() {
        return used;
    }

    public long badLines() {
        return bad;
    }

    /** Lines set aside, by reason. */
    public Map<String, Long> aside() {
        return aside;
    }

    /** The first bad lines. */
    public List<String> examples() {
        return examples;
    }

    /** Lines whose class is known. */
    public long classed() {
        return used + bad + aside.values().stream().mapToLong(Long::longValue).sum();
    }

    /** Whether so large a share of the lines is bad that the source is not what it was taken for. */
    public boolean refused(double share) {
        return bad > share * lines;
    }
}
