package cypressvalve.session;

/**
 * When a viewer who says nothing counts as gone. A player with a full buffer still fetches a segment in each
 * segment's time, and one whose host delivers short fetches less often, so a few missing ones are no proof.
 */
public final class Silence {
    /** Segments that a player may leave out: one in transfer at a quarter of its rate, with one to spare. */
    private static final int SEGMENTS = 5;
    /** Short segments alone say little: a player may pause for a rebuffer or a change of network this long. */
    private static final long LEAST = 5_000_000_000L;

    private Silence() {
    }

    /** Nanoseconds without a request after which a playing session is over, for that segment length. */
    public static long after(long segment) {
        return Math.max(LEAST, SEGMENTS * segment);
    }

    /** Whether a session last heard of then is over now. */
    public static boolean gone(long lastSeen, long now, long segment) {
        return now - lastSeen > after(segment);
    }
}
