package cypressvalve.host;

import cypressvalve.model.Verdict;

/**
 * A gateway's way to its media hosts. All calls are made, and all results told, on the gateway's loop; no result is
 * told before the call that led to it has returned. Each set-up and each probe has exactly one result.
 */
public interface HostClient {
    /** How a set-up ended. */
    interface SetUpResult {
        /** The host took it and plays; the report is {@link LoadReport#NONE} where none came. */
        void started(LoadReport report);

        /** The same, with what the host said of the session for its viewer. */
        default void started(LoadReport report, byte[] description) {
            started(report);
        }

        /**
         * It was given up, but the host may hold it still: nothing further may be sent for it before {@link #cameBack}. Told at
         * most once, where the end is not known at once.
         */
        default void givenUp(Verdict verdict) { }

        /**
         * It does not play. Told once the host has shown that it is over there, so that a further attempt may follow at once,
         * or once its request is over, so that none follows. NOT_SENT and NO_CONNECTION are told only where no byte of it can have left; a reset
         * or a time-out after that is no proof.
         */
        void cameBack(Verdict verdict, LoadReport report);
    }

    /** How a probe ended. */
    interface ProbeResult {
        void probed(Verdict verdict, LoadReport report);
    }

    /** What a media host's word of a session's end led to. */
    enum EndEffect {
        /** The session played, and is over now. */
        ENDED,
        /** The session does not play there, as far as is known: the word is kept for its answer or its hand-over. */
        KEPT
    }

    /** What media hosts tell unasked of the sessions that this gateway holds there. */
    interface Notes {
        /** Share of the rates that arrives at that host, told on one of its sessions. */
        void delivered(long host, String session, double share);

        /** Link and uplink use, told on one session; NaN where not told. */
        void load(long host, String session, LoadReport report);

        /**
         * The session is over at the host: OK at its end, WITHDRAWN for its viewer's or a move's sake, BROKEN if cut.
         *
         * @return what came of it
         */
        EndEffect ended(long host, String session, Verdict verdict);

        /** The rung in force. */
        default void rung(long host, String session, int rung) { }

        /**
         * All sessions that the host carries for this gateway, told whenever listening begins (again).
         *
         * @param askedAt System.nanoTime() when it was asked; what began later may be missing
         */
        void carried(long host, java.util.Set<String> sessions, long askedAt);

        /** The host is lost and all that it carried for this gateway with it. */
        void lost(long host);

        /** System.nanoTime() when a session began that is held here as playing at that host; Long.MAX_VALUE if none is. */
        default long begunAt(long host, String session) {
            return Long.MAX_VALUE;
        }

        /**
         * Another process has taken the place of the one that carried the host's sessions, or that is not known in time.
         *
         * @param boundary System.nanoTime(): what began before is over
         */
        default void replaced(long host, long boundary) { }
    }

    /** Out on its way; can be taken back. */
    interface Call {
        /** Stops waiting and tells the host, as its request is over; the result is WITHDRAWN, or NOT_SENT where nothing had left. */
        void withdraw();
    }

    Call setUp(HostAddress host, SetUpOrder order, SetUpResult result);

    /** Tells the host the rung of a session that it set up or is setting up. */
    void setRung(HostAddress host, String session, int rung);

    /** Ends a session at the host; repeated until the host has heard it or is gone. */
    void release(HostAddress host, String session);

    /** Ends a session at the host whose viewer comes again; where the host need not know that, a release. */
    default void move(HostAddress host, String session) {
        release(host, session);
    }

    void probe(HostAddress host, ProbeResult result);

    /** Asks what the host carries for this gateway; nothing where it can't be asked. */
    void carried(HostAddress host, java.util.function.Consumer<java.util.List<Carried>> result);

    /** The list says that the host has gone, or is there again: its address may be another's by now. */
    default void gone(HostAddress host, boolean is) { }

    /**
     * The list says that the host drains or has gone: attempts of which no byte has left end with NOT_SENT, as they would
     * reach it later than it may be sent anything new.
     */
    default void cancelUnsent(HostAddress host) { }

    /** Gives back idle connections. */
    void freeLinks(HostAddress host);

    /** Listens to the host's notes from now on, or no longer. */
    void follow(HostAddress host, boolean on);

    /** Closes everything; no result is told any more. */
    void close();
}
