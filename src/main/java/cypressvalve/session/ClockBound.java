package cypressvalve.session;

import cypressvalve.Control;

/**
 * How far a gateway's clock may be off. Control leaves a part of each turn at a fresh host free, for clocks that
 * differ and for set-ups on their way; half of that is kept for the way, and two clocks share the other half.
 */
public final class ClockBound {
    /** Part of the slack left for the way: a hand-shake and a queue at a loaded host. */
    private static final double ON_THE_WAY = 0.5;

    private ClockBound() {
    }

    /**
     * The largest error that one gateway's clock may have, in nanoseconds either way.
     *
     * @param window the time, in nanoseconds, over which a fresh host's pace is counted
     */
    public static long most(long window) {
        return (long) (Control.clockSlack(window) * (1 - ON_THE_WAY) / 2);
    }

    /** Whether a clock with that error, in nanoseconds, may take turns with others. */
    public static boolean allows(long error, long window) {
        return Math.abs(error) <= most(window);
    }
}
