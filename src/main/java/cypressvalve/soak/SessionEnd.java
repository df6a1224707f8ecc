package cypressvalve.soak;

/**
 * How an emulated media host ends a session that stands there.
 *
 * @param afterMillis how long after its answer
 * @param cause of the release: 16 for its end, 41 where it was cut, 31 where its viewer ended it
 * @param closesFirst whether the connection of its set-up is closed before, so that the release is said on another
 */
public record SessionEnd(long afterMillis, int cause, boolean closesFirst) {
    /** The session has come to its end. */
    public static final int NORMAL = 16;
    /** The session was cut. */
    public static final int CUT = 41;
}
