package cypressvalve.host.rtsp;

/**
 * When a media host is to be given a new connection, as it says ends of sessions again on the next one that is opened: after a connection
 * has ended on which it may have said something unread, and once it speaks after it stood still. Such a host may not know yet which
 * connections were given up, by this process or by the one before it, and may have taken those opened since before it said anything. Free
 * of I/O and of clocks; times are nanoseconds.
 */
final class EndRepeats {
    /** From a host's first word after its silence: by then it has taken note of what was given up, and said the rest elsewhere. */
    private static final long TAKES_NOTE = 300_000_000L;
    /** A connection on which a host says its first word so late may have been taken while it stood still. */
    private static final long LATE_FIRST_WORD = 100_000_000L;
    /** Where the last connection went for another host's, the next is opened after this: ends must be heard in time. */
    private static final long REOPEN_AFTER = 3_000_000_000L;
    static final long NEVER = Long.MIN_VALUE / 2;

    private long endedAt = NEVER;
    /** No connection that was begun since one ended has come up. */
    private boolean awaited;
    /** The host may have stood still, and has said nothing since. */
    private boolean silent;
    /** When the host spoke first after that; a connection is due for it. */
    private long spokeAt = NEVER;
    /** When a connection was given up to make room for another host's. */
    private long closedForRoomAt = NEVER;
    /** When the last connection was over. */
    private long overAt;

    /** @param now when the host has no connection yet */
    EndRepeats(long now) {
        overAt = now;
    }

    /** A connection is over, however it went. */
    void over(long now) {
        overAt = now;
    }

    /** Whether the host, which has no connection, has had none for so long. */
    boolean withoutConnectionFor(long nanos, long now) {
        return now - overAt > nanos;
    }

    /** A connection that was up has ended: what the host said on it last may be lost. */
    void ended(long now) {
        endedAt = now;
        awaited = true;
    }

    /** A connection on which the host said nothing was given up here. */
    void givenUpInSilence() {
        silent = true;
    }

    /** Whether a connection on which the host said nothing was given up here, and it has said nothing since. */
    boolean isSilent() {
        return silent;
    }

    /**
     * Something came from the host.
     *
     * @param silentSince since when it had a connection and said nothing on any; NEVER where it has spoken meanwhile
     */
    void heard(long now, long silentSince) {
        if (silent || silentSince != NEVER && now - silentSince > LATE_FIRST_WORD) {
            silent = false;
            spokeAt = now;
        }
    }

    /**
     * A connection came up.
     *
     * @param begunAt when it was begun: the host may have taken one that was begun before another has ended, and have said all on it before
     */
    void connected(long begunAt) {
        awaited = awaited && begunAt < endedAt;
    }

    /** A session of a set-up that left then plays: a connection that has ended since may have carried its end. */
    void begun(long sentAt, boolean others) {
        awaited = others && awaited || endedAt >= sentAt;
    }

    /** A connection was given up to make room for another host's. */
    void closedForRoom(long now) {
        closedForRoomAt = now;
    }

    /** Whether that was so shortly before that another connection would take the place again at once. */
    boolean isClosedForRoom(long now) {
        return now - closedForRoomAt < REOPEN_AFTER;
    }

    /** Whether connections had stayed for long when one came up. */
    boolean isLongOpenSince(long upAt) {
        return upAt - closedForRoomAt > 2 * REOPEN_AFTER;
    }

    /** Whether one is to be opened now, as one has ended on which the host may have said something unread. */
    boolean awaited() {
        return awaited;
    }

    /** Whether one more is due as the host has gone on, whatever connections there are. */
    boolean dueAfterSilence(long now) {
        return spokeAt != NEVER && now - spokeAt >= TAKES_NOTE;
    }

    /** The connection that was due is being opened. */
    void begunAfterSilence() {
        spokeAt = NEVER;
    }
}
