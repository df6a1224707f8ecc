package cypressvalve.host.rtsp;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import java.util.function.LongPredicate;

/**
 * Whether the process that carries a media host's sessions is still the one that its connections reach. A process that dies takes its sessions
 * along and may listen again at once; connections may also be reset by the network, or fall silent, while it lives. What can be explained by
 * both is a doubt: it is settled by a word of what was there before, and decided against the process in time for viewers to be told. Free of
 * I/O and of clocks; times are nanoseconds.
 */
final class ProcessContinuity {
    static final long NEVER = EndRepeats.NEVER;
    /** No process that has died listens again sooner than this. */
    private static final long LEAST_RESTART = 90_000_000L;
    /** A refusal that was read so shortly before the end of the last connection belongs to the same death. */
    private static final long SAME_DEATH = 500_000_000L;
    /** Viewers are owed an end that nobody can say within 8 s: a doubt is decided so long after the process was known to be there last. */
    private static final long DECIDED = 7_000_000_000L;
    /** A doubt that comes up late is left so much time for what may settle it. */
    private static final long LEAST_DOUBT = 500_000_000L;
    /** The same, but not beyond this. */
    private static final long DECIDED_AT_LAST = 7_600_000_000L;
    private static final int MAX_DOUBTS = 64;

    /** Why it is not known whether the process is the same. */
    enum Cause {
        /** The host's side has ended all connections, and the next one came up too late to show that the process was there throughout. */
        CONNECTED_LATE("its connections have ended, the next one came up late"),
        /** All connections were given up in the host's silence, and the next one came up too late. */
        CLOSED_IN_SILENCE("its connections were closed in its silence, the next one came up late"),
        /** New connections did not come up, then one did; older ones have said nothing since. */
        WAS_UNREACHABLE("it was out of reach"),
        /** The host speaks on a newer connection and owes an answer on all older ones. */
        OLD_ONES_SILENT("it answers on new connections alone");

        private final String text;

        Cause(String text) {
            this.text = text;
        }

        @Override
        public String toString() {
            return text;
        }
    }

    /** How the last connection to the host ended. */
    private enum Apart { NO, BY_HOST, IN_SILENCE }

    /** Sessions that began before some time are not known to be over, and not known to stand. */
    static final class Doubt {
        private final Cause cause;
        private final long since;
        private final long raisedAt;
        private final long boundary;
        private long newSideHeardAt = NEVER;

        private Doubt(Cause cause, long since, long raisedAt, long boundary) {
            this.cause = cause;
            this.since = since;
            this.raisedAt = raisedAt;
            this.boundary = boundary;
        }

        Cause cause() {
            return cause;
        }

        /** When the process that carries the sessions was known to be there last. */
        long since() {
            return since;
        }

        /** Sessions that began before are meant; connections that came up from then on may reach another process. */
        long boundary() {
            return boundary;
        }

        /** Where the host may only stand still, nothing is decided before it has spoken. */
        private long dueAt(boolean olderConnected) {
            long due = Math.max(since + DECIDED, Math.min(raisedAt + LEAST_DOUBT, since + DECIDED_AT_LAST));
            if (cause == Cause.CONNECTED_LATE && !olderConnected) {
                return due;
            }
            return newSideHeardAt == NEVER ? Long.MAX_VALUE : Math.max(due, newSideHeardAt + LEAST_DOUBT);
        }
    }

    /** The oldest first; a later one concerns more sessions. */
    private final Deque<Doubt> doubts = new ArrayDeque<>();
    /** When the process that is reached now was known to be there last. */
    private long knownAt;
    /** Connections that came up before this reach the same process as those before them. */
    private long sameUntil = NEVER;
    private Apart apart = Apart.NO;
    private long refusedAt = NEVER;
    private long unreachedAt = NEVER;

    /** @param now when the host is known to be there */
    ProcessContinuity(long now) {
        knownAt = now;
    }

    /**
     * Something came from the host.
     *
     * @param upAt when the connection had come up
     * @param unreadUntil when nothing was unread there: it was said since, by a process that may have died meanwhile
     * @return whether that settles a doubt
     */
    boolean heard(long upAt, long unreadUntil, long now) {
        knownAt = Math.max(knownAt, unreadUntil);
        doubts.stream().filter(doubt -> doubt.boundary <= upAt && doubt.newSideHeardAt == NEVER).forEach(doubt -> doubt.newSideHeardAt = now);
        return settle(upAt, now);
    }

    /**
     * The host has said something of a session.
     *
     * @param begunAt when that had begun
     * @return whether that settles a doubt
     */
    boolean spokeOfSession(long begunAt, long now) {
        return settle(begunAt, now);
    }

    /** The process that speaks now was there then. */
    private boolean settle(long then, long now) {
        boolean settled = doubts.removeIf(doubt -> doubt.boundary > then);
        if (settled) {
            sameUntil = now;
        }
        return settled;
    }

    /**
     * The last connection that was up has ended at the host's side.
     *
     * @param intactAt when it was seen last that it had not
     * @return whether the process is known to have died: a connection was refused just before
     */
    boolean lastEndedByHost(long intactAt, long now) {
        apart = Apart.BY_HOST;
        knownAt = Math.max(knownAt, intactAt);
        return now - refusedAt < SAME_DEATH;
    }

    /** The last connection that was up was closed at this side, with something that the host had not answered. */
    void lastClosedInSilence() {
        apart = Apart.IN_SILENCE;
    }

    /**
     * A connection was refused: no process listened.
     *
     * @param connected whether another one is up
     * @return whether the process is known to have died
     */
    boolean refused(long now, boolean connected) {
        refusedAt = now;
        return !connected;
    }

    /** A connection did not come up in time. */
    void unreached(long now) {
        unreachedAt = now;
    }

    /**
     * A connection came up.
     *
     * @param begunAt when it was begun
     * @param connected whether another one is up
     * @return the doubt that it brings, if any
     */
    Optional<Doubt> cameUp(long begunAt, long now, boolean connected) {
        Apart before = connected ? Apart.NO : apart;
        apart = Apart.NO;
        if (before != Apart.NO && begunAt - knownAt > LEAST_RESTART) {
            return Optional.of(raise(before == Apart.BY_HOST ? Cause.CONNECTED_LATE : Cause.CLOSED_IN_SILENCE, knownAt, now, now));
        }
        if (connected && unreachedAt > knownAt) {
            return Optional.of(raise(Cause.WAS_UNREACHABLE, knownAt, now, now));
        }
        knownAt = connected ? knownAt : Math.max(knownAt, begunAt);
        return Optional.empty();
    }

    /**
     * The host has spoken on a connection, and owes an answer on all that came up before.
     *
     * @param since when it said something on one of those last
     * @param boundary when the connection came up on which it speaks
     * @return the doubt that this brings, if it brings one
     */
    Optional<Doubt> oldOnesAreSilent(long since, long boundary, long now) {
        if (boundary <= sameUntil || doubts.stream().anyMatch(doubt -> doubt.boundary >= boundary)) {
            return Optional.empty();
        }
        Doubt doubt = raise(Cause.OLD_ONES_SILENT, since, now, boundary);
        doubt.newSideHeardAt = now;
        return Optional.of(doubt);
    }

    /** Where there are too many the last one takes in the next. */
    private Doubt raise(Cause cause, long since, long now, long boundary) {
        Doubt last = doubts.size() < MAX_DOUBTS ? null : doubts.removeLast();
        Doubt doubt = last == null ? new Doubt(cause, since, now, boundary) : new Doubt(cause, last.since, last.raisedAt, boundary);
        doubts.add(doubt);
        return doubt;
    }

    /** Whether it is not known that the process is the same. */
    boolean inDoubt() {
        return !doubts.isEmpty();
    }

    /**
     * The doubt that is decided now, against the process; it is gone then.
     *
     * @param connectedBefore whether a connection is up that came up before a time
     */
    Optional<Doubt> decide(long now, LongPredicate connectedBefore) {
        Doubt oldest = doubts.peek();
        if (oldest == null || now < oldest.dueAt(connectedBefore.test(oldest.boundary))) {
            return Optional.empty();
        }
        doubts.remove();
        sameUntil = Math.max(sameUntil, oldest.boundary);
        return Optional.of(oldest);
    }
}
