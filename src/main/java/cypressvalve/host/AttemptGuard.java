package cypressvalve.host;

/** Judges each set-up attempt right before its first byte leaves, and is told what becomes of it. Used on the loop. */
public interface AttemptGuard {
    /** Lets everything leave; for callers that see to it themselves. */
    AttemptGuard NONE = new AttemptGuard() {
        @Override
        public boolean readBefore(String request) {
            return true;
        }

        @Override
        public boolean maySend(String request, long host) {
            return true;
        }

        @Override
        public boolean isOpen(String request) {
            return true;
        }

        @Override
        public void sent(String request, long host) { }

        @Override
        public void over(String request) { }
    };

    /**
     * Takes what has come by now that may speak against an attempt of that request, which may end the attempt.
     *
     * @return whether all of it was taken; where not, the attempt is to be looked at again once the loop has done something else
     */
    boolean readBefore(String request);

    /** Whether an attempt of that request may leave for that media host now, as far as is known. */
    boolean maySend(String request, long host);

    /** Whether the request still waits for its answer. */
    boolean isOpen(String request);

    /** The attempt is out at that media host from now on. */
    void sent(String request, long host);

    /** The request's attempt is known to be over, or never left. */
    void over(String request);

    /**
     * What a media host carried counts as over, as its process is not known to be there any more.
     *
     * @param unknownFor nanoseconds since it was known last
     */
    default void hostDecided(long host, long unknownFor) { }
}
