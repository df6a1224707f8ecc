package cypressvalve.run;

/**
 * What a gateway does when after SIGTERM, from the longest time that any of its clients waits for an answer. Free of I/O
 * and of clocks; times are nanoseconds since the signal. The platform sends new connections and requests for a while,
 * goes on with requests on open connections until it kills the process, and kills it no sooner than {@link #earliestKill}.
 *
 * @param refusesAfter requests that come later are refused at once
 * @param answersBy by then every request that is open has its final answer
 * @param closesUnusedAfter connections with neither an open request nor a session are closed from then on: what a client sent
 *     just before the kill would have no answer, while what crosses a close it sends again elsewhere
 * @param closesAfter all connections without an open request are, as their clients go on sending until the kill
 * @param earliestKill the soonest that the platform sends SIGKILL
 * @param endsBy the process ends by then, whatever is open
 */
record ShutdownSchedule(long refusesAfter, long answersBy, long closesUnusedAfter, long closesAfter, long earliestKill,
    long endsBy) {
    private static final long MILLI = 1_000_000L;
    /** The platform counts longer deadlines as this. */
    private static final long LONGEST_DEADLINE = 3_000 * MILLI;
    private static final long KILL_AFTER_DEADLINE = 700 * MILLI;
    /** So long new connections come. */
    private static final long NEW_CONNECTIONS = 400 * MILLI;
    /** New connections come for 0.4 s and requests on new ones for 0.2 s more; the rest is slack. */
    private static final long STILL_SENDS = 650 * MILLI;
    /**
     * From the last answers and closes to the earliest kill: a process on part of a core that stands still again and again is
     * late by some of it.
     */
    private static final long KILL_MARGIN = 700 * MILLI;
    /**
     * A loop that is later than this has too little of a core to serve what still comes and to answer all of it before the kill: a
     * refusal takes a small part of the time that an attempt takes.
     */
    private static final long TOO_LATE = 50 * MILLI;
    /** Where the kill does not come, clients that hold a connection may still send for so long. */
    private static final long AFTER_KILL = 2_000 * MILLI;

    /** @param longestDeadline the longest time that a client waits for its answer, in nanoseconds */
    static ShutdownSchedule of(long longestDeadline) {
        long kill = Math.min(longestDeadline, LONGEST_DEADLINE) + KILL_AFTER_DEADLINE;
        long closes = Math.max(STILL_SENDS, kill - KILL_MARGIN);
        return new ShutdownSchedule(STILL_SENDS, closes, STILL_SENDS, closes, kill, kill + AFTER_KILL);
    }

    /**
     * Whether new requests are refused.
     *
     * @param since time since the signal
     * @param late how late the loop looks
     */
    boolean refuses(long since, long late) {
        return since >= refusesAfter || late > TOO_LATE;
    }

    /**
     * Whether connections with neither an open request nor a session are closed. Where the loop is late, that begins as new connections
     * end: what is sent on them instead comes in few messages, while a client goes on sending on what is open.
     *
     * @param since time since the signal
     * @param late how late the loop looks
     */
    boolean closesUnused(long since, long late) {
        return since >= closesUnusedAfter || late > TOO_LATE && since >= NEW_CONNECTIONS;
    }

    /**
     * Whether no client can be told of the end of a session any more: what is read of media hosts from then on is of no use to anybody.
     *
     * @param since time since the signal
     * @param clients connections that clients hold
     */
    boolean tellsNobody(long since, int clients) {
        return since >= closesAfter && clients == 0;
    }

    /**
     * Whether the process may end. It does not stay for sessions of whose ends it can tell nobody, as it owes their ends while it lives.
     *
     * @param since time since the signal
     * @param busy requests are open, or something waits to be written, to clients or to media hosts
     * @param playing whether sessions play
     * @param clients connections that clients hold: on each a request may be on its way
     */
    boolean mayEnd(long since, boolean busy, boolean playing, int clients) {
        boolean owes = busy || playing && !tellsNobody(since, clients);
        return since >= endsBy || since >= refusesAfter && !owes && clients == 0;
    }
}
