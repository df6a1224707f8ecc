package cypressvalve.host.rtsp;

/**
 * The life of one connection to a media host, from its opening to its end, and how it is given up. A media host may stand still while its
 * system takes connections: only what it said on a connection shows that its process has taken that, and only its own end of the stream shows
 * that it has nothing more to say there. Free of I/O and of clocks; times are nanoseconds.
 */
final class ConnectionLife {
    static final long NEVER = EndRepeats.NEVER;

    /** It only moves downwards. */
    enum State {
        /** It is being opened. */
        CONNECTING,
        /** It is up, for the host's system at least. */
        UP,
        /** This side has ended its stream; what the host says until it ends its own is read. */
        HALF_CLOSED,
        /** Nothing that comes can be read any more; only its end is awaited. */
        DISCARDING,
        /** Nothing comes or goes any more. */
        CLOSED
    }

    private final long begunAt;
    private State state = State.CONNECTING;
    private boolean retired;
    private long upAt = NEVER;
    private long heardAt = NEVER;
    private long usedAt;
    private long lifeTestedAt = NEVER;
    /** When the first of what the host has to answer was written, since it was heard last. */
    private long unansweredSince = NEVER;
    /** When it was half-closed as of no more use; NEVER where its end was only asked for as a proof. */
    private long givenUpAt = NEVER;
    /** When the host's process had surely seen to its connections since. */
    private long hostRanAt = NEVER;

    ConnectionLife(long now) {
        begunAt = now;
        usedAt = now;
    }

    State state() {
        return state;
    }

    /** The host's system has taken it. */
    void cameUp(long now) {
        advance(State.UP);
        upAt = now;
    }

    /** Something came from the host on it. */
    void heard(long now) {
        heardAt = now;
        usedAt = now;
        unansweredSince = NEVER;
    }

    /** Something was written that the host has to answer. */
    void asked(long now) {
        unansweredSince = unansweredSince == NEVER ? now : unansweredSince;
    }

    /** Whether the host owes an answer here and has said nothing for so long. */
    boolean unansweredFor(long nanos, long now) {
        return unansweredSince != NEVER && now - unansweredSince >= nanos;
    }

    /** Whether it is up: it came up, and has not been closed. */
    boolean isUp() {
        return hasComeUp() && !isClosed();
    }

    /** Something was written to it. */
    void used(long now) {
        usedAt = now;
    }

    /** Something that the host has to answer was sent to see whether its process has taken it. */
    void lifeTested(long now) {
        lifeTestedAt = now;
    }

    /** Nothing new goes out on it. */
    void retire() {
        retired = true;
    }

    /** This side has ended its stream, behind which the host ends its own. */
    void halfClose() {
        retired = true;
        advance(State.HALF_CLOSED);
    }

    /** The same, as it is of no more use. */
    void giveUp(long now) {
        halfClose();
        givenUpAt = now;
    }

    /**
     * The host has answered a message, on any connection.
     *
     * @param sentAt when that message was written
     */
    void hostRan(long sentAt, long now) {
        if (isGivenUp() && sentAt > givenUpAt && hostRanAt == NEVER) {
            hostRanAt = now;
        }
    }

    /** What comes can't be read any more. */
    void discard() {
        retired = true;
        advance(State.DISCARDING);
    }

    /** Nothing comes or goes any more. */
    void close() {
        advance(State.CLOSED);
    }

    private void advance(State next) {
        if (next.compareTo(state) > 0) {
            state = next;
        }
    }

    /** Whether it came up once, closed or not. */
    boolean hasComeUp() {
        return upAt != NEVER;
    }

    boolean isClosed() {
        return state == State.CLOSED;
    }

    boolean isRetired() {
        return retired;
    }

    /** Whether it is half-closed as of no more use. */
    boolean isGivenUp() {
        return givenUpAt != NEVER;
    }

    /** Whether it was given up so long ago. */
    boolean givenUpFor(long nanos, long now) {
        return isGivenUp() && now - givenUpAt > nanos;
    }

    /** Whether the host has not ended it in that time, though its process has run since it was given up. */
    boolean notEndedFor(long nanos, long now) {
        return hostRanAt != NEVER && now - hostRanAt > nanos;
    }

    /** Whether it was given up so long ago, and the host has said nothing on it since. */
    boolean givenUpInSilenceFor(long nanos, long now) {
        return givenUpFor(nanos, now) && silentSince(givenUpAt);
    }

    /** Whether the host's process has taken it, as far as is known: else it may wait in the queue of its system. */
    boolean isAccepted() {
        return heardAt != NEVER;
    }

    boolean isLifeTested() {
        return lifeTestedAt != NEVER;
    }

    /** Whether it shows life, or has not been waited for in vain for so long. */
    boolean mayComeAlive(long nanos, long now) {
        return isAccepted() || hasComeUp() && !isLifeTested() || now - (hasComeUp() ? lifeTestedAt : begunAt) < nanos;
    }

    /** Whether the host has said nothing on it since then. */
    boolean silentSince(long then) {
        return heardAt < then;
    }

    /** When the host's process could have said something on it last: as it came up, or as it was heard. */
    long reachedAt() {
        return Math.max(upAt, heardAt);
    }

    long begunAt() {
        return begunAt;
    }

    long upAt() {
        return upAt;
    }

    long heardAt() {
        return heardAt;
    }

    long usedAt() {
        return usedAt;
    }

    /**
     * Whether what the host said on it last may be lost, as it is over now: not where the host ended its stream in order behind this
     * side's, as all that it said was read then, for whatever reason this side ended its own; nor where it never came up.
     */
    boolean mayHaveLostWords(boolean endedByHost, boolean resetByHost) {
        return hasComeUp() && (state != State.HALF_CLOSED || !endedByHost || resetByHost);
    }
}
