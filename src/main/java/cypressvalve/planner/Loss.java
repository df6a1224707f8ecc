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
    /** So much of the loss's length again is looked at after it. */
    private static final double SEEN = 0.75;
    /** What comes before the loss is what it is compared with: at least this part of the day. */
    private static final double EARLIEST = 0.2;

    /**
     * When a loss that lasts so long strikes a day, in seconds: at the usual place, or earlier if the return would not be
     * seen; not a number if the day is too short for it.
     */
    public static double at(double length, double lasts) {
        double at = Math.min(length * FROM, length - lasts * (1 + SEEN));
        return at < length * EARLIEST ? Double.NaN : at;
    }

    /** The least length of a day in which a loss that lasts so long is seen whole, in seconds. */
    public static double needs(double lasts) {
        return lasts * (1 + SEEN) / (1 - EARLIEST);
    }

    /** The trouble, in the words of a day's script; the day's length in nanoseconds. */
    public Map<String, String> trouble(long length) {
        return Map.of("kind", "crash", "at", (long) (length * FROM) / 1000 + "us", "length",
            (long) (length * FOR) / 1000 + "us", "part", "" + part);
    }
}
