package cypressvalve.host.rtsp;

/**
 * Whether a media host that carries sessions still lives, as its sockets show it; free of I/O and of clocks. A process
 * that died refuses connections, a machine that vanished lets none come up and says nothing on open ones, and one that
 * only stands still takes connections all the same: what it carries is kept. Times are nanoseconds.
 */
final class Lifeline {
    /** What is to be done now. */
    enum Step { NOTHING, CONNECT, TEST, LOST }

    /** Viewers are owed the end of what a host that vanished carried within 8 s: by then the loss is known. */
    private static final long KNOWN = 7_500_000_000L;
    /** Where looks come late one failed try decides from then on: in the rest an end goes on its way. */
    private static final long DECIDED = 7_000_000_000L;
    /** How far apart looks may be, and what a late loop takes. */
    private static final long LOOKS = 250_000_000L;
    /** Hosts that take long to connect to are tested no sooner than this. */
    private static final long LEAST_SILENT = 1_500_000_000L;
    /** Then, if no answer came, a new connection is tried: longer than a loaded host takes for a test. */
    private static final long UNANSWERED = 1_000_000_000L;
    /** Time from one try to the next. */
    private static final long AGAIN = 300_000_000L;
    /** So many tries in a row that came to nothing prove the loss: one may meet a full table, or be reset when new. */
    private static final int FAILED_TRIES = 3;
    /** The same where looks came late and no connection is open: each waits for a place. */
    private static final int FAILED_TRIES_WHEN_LATE = 2;

    /**
     * A host that says nothing for so long is tested: as late as the time in which an end must be known allows, as all
     * gateways test all that they use, and a host pays for each test.
     */
    private final long silent;

    private long heardAt;
    private long testedAt = Long.MIN_VALUE / 2;
    private long triedAt = Long.MIN_VALUE / 2;
    private long provedAt = Long.MIN_VALUE / 2;
    private int failed;
    private long failedAt = Long.MIN_VALUE / 2;

    /** @param connectTimeout nanoseconds after which a connection counts as none */
    Lifeline(long now, long connectTimeout) {
        heardAt = now;
        silent = Math.max(LEAST_SILENT, KNOWN - UNANSWERED - LOOKS
            - FAILED_TRIES * (Math.max(connectTimeout, AGAIN) + LOOKS));
    }

    /** Bytes came from the host. */
    void heard(long now) {
        heardAt = now;
        failed = 0;
    }

    /** A connection is being opened from now on. */
    void began(long now) {
        triedAt = now;
    }

    /** A connection came up. */
    void connected(long now) {
        failed = 0;
        provedAt = now;
    }

    /** A connection was refused, or did not come up in time. */
    void unreached(long now) {
        if (now - failedAt >= AGAIN) {
            failedAt = now;
            failed++; // Several that fail together prove no more than one.
        }
    }

    /**
     * What is to be done now. CONNECT is said again until a connection is being opened: there may be no room for it yet.
     *
     * @param open whether a connection to the host is open now
     * @param connecting whether one is being opened
     */
    Step step(long now, boolean open, boolean connecting) {
        boolean unanswered = testedAt >= heardAt && now - testedAt >= UNANSWERED;
        if (failed >= FAILED_TRIES && (!open || unanswered)) {
            return Step.LOST;
        }
        long quiet = now - Math.max(heardAt, provedAt);
        if (quiet >= DECIDED && (open ? failed > 0 && unanswered : failed >= FAILED_TRIES_WHEN_LATE)) {
            return Step.LOST; // Looks came late; more tries would take longer than ends may.
        }
        if (open && failed > 0 && testedAt < heardAt) {
            testedAt = now; // New connections do not come up; the open one tells whether the host lives.
            return Step.TEST;
        }
        Step connect = !connecting && now - triedAt >= AGAIN ? Step.CONNECT : Step.NOTHING;
        if (!open || failed > 0) {
            return connect;
        }
        if (quiet < silent) {
            return Step.NOTHING;
        }
        if (testedAt < heardAt || now - testedAt > silent + UNANSWERED) {
            testedAt = now;
            return Step.TEST;
        }
        return now - testedAt >= UNANSWERED ? connect : Step.NOTHING;
    }
}
