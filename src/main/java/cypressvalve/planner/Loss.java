package cypressvalve.planner;

import java.util.Map;

/**
 * A part of the hosts that crashes and comes back cold. It happens when the day has its usual load, and ends early enough
 * that the return is seen too.
 */
public record Loss(double part) {
    /** Two fifths into the day sessions of before have mostly ended, and what plays came at the day's own rate. */
    private static final double FROM = 0.4;
    /** Three tenths of the day, so that as much is left for the return. */
    private static final double FOR = 0.3;

    /** The trouble, in the words of a day's script; the day's length in nanoseconds. */
    public Map<String, String> trouble(long length) {
        return Map.of("kind", "crash", "at", (long) (length * FROM) / 1000 + "us", "length",
            (long) (length * FOR) / 1000 + "us", "part", "" + part);
    }
}
