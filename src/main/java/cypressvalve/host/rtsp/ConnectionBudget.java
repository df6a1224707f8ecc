package cypressvalve.host.rtsp;

import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;

/**
 * How many connections to all media hosts may be held, and which are given up where there is room for no more. A connection to a host that
 * carries sessions is only half-closed and stays held until the host has ended it, too: the host may stand still and say on it, or on one
 * that still waits in its system's queue, what ended meanwhile. Free of I/O and of clocks; times are nanoseconds.
 *
 * @param <C> a connection
 */
final class ConnectionBudget<C extends ConnectionBudget.Held> {
    /** Half-closed connections beyond those that may be held. */
    static final int MAX_ENDING = 8;
    /** A host that lives ends its side of a connection within this. */
    static final long END_TIMEOUT = 1_000_000_000L;
    /** One that has not ended a connection in this may stand still: half-closing more of its connections brings no room. */
    static final long SLOW_TO_END = 250_000_000L;
    /** A host that carries sessions waits so long for its only connection before another host's goes for it. */
    static final long REACH_PATIENCE = 1_500_000_000L;

    /** What a connection is wanted for. */
    enum Purpose {
        /** Something is to be sent now. */
        SEND,
        /** The host may have something to say on a new connection. */
        LISTEN,
        /** The host carries sessions and has no connection. */
        REACH,
        /** The same, for longer than {@link #REACH_PATIENCE}. */
        REACH_AT_LAST
    }

    /** A connection that is held. */
    interface Held {
        ConnectionLife life();

        /** Whether its host carries sessions, whose ends it says on its connections. */
        boolean hostCarriesSessions();

        /** Whether nothing is open on it, so that it may be half-closed. */
        boolean mayMakeRoom();

        /** Whether its host would be left without a connection that stays. */
        boolean isOnlyOneOfHost();

        /** Whether its host has said what it had to say on a new connection, or had the time for it. */
        boolean listenedLongEnough();

        /** Whether its host has a connection that is half-closed as of no more use, and has not ended that in so long. */
        boolean hostHasUnendedFor(long nanos);

        /** Whether a connection that its host's process has not taken, but its system, is held beside it. */
        boolean hostHasQueued();

        /** Whether its host has said nothing anywhere since it could have said something on it. */
        boolean mayHoldUnsaidEnds();

        /**
         * Whether a connection to its host was closed on which the host had said nothing, and it has said nothing since. What it says there
         * once it goes on is lost, and said again on the next one that it takes: that one must stay.
         */
        boolean hostIsSilent();
    }

    private final int maxConnections;
    private final Set<C> held = new LinkedHashSet<>();
    /** Of those, the ones that are half-closed as of no more use, the oldest first. */
    private final Set<C> ending = new LinkedHashSet<>();

    /** @param maxConnections held at once, beside {@link #MAX_ENDING} that end */
    ConnectionBudget(int maxConnections) {
        this.maxConnections = maxConnections;
    }

    /** One is being opened. */
    void opened(C connection) {
        held.add(connection);
    }

    /** It was half-closed as of no more use. */
    void givenUp(C connection) {
        ending.add(connection);
    }

    /** It is over; whether it was held. */
    boolean closed(C connection) {
        ending.remove(connection);
        return held.remove(connection);
    }

    int held() {
        return held.size();
    }

    int maxConnections() {
        return maxConnections;
    }

    /** Whether one more may be opened. */
    boolean hasRoom() {
        return held.size() - Math.min(ending.size(), MAX_ENDING) < maxConnections;
    }

    /** Whether room can be had by half-closing one. */
    boolean mayEndOneMore() {
        return ending.size() < MAX_ENDING;
    }

    /**
     * The one to be half-closed for another; none where all are in use, or of hosts that may stand still. A host that carries sessions keeps its
     * only connection while another host has several: what ends there could not be said.
     */
    Optional<C> leastNeeded(Purpose purpose) {
        boolean keepsOnlyOnes = !reaches(purpose) && held.stream().anyMatch(connection -> !connection.life().isGivenUp() && !connection.isOnlyOneOfHost());
        return held.stream().filter(connection -> connection.mayMakeRoom() && (purpose == Purpose.SEND || connection.listenedLongEnough()))
            .filter(connection -> !keepsOnlyOnes || !connection.hostCarriesSessions() || !connection.isOnlyOneOfHost())
            .filter(connection -> !connection.hostCarriesSessions() || !connection.hostHasUnendedFor(SLOW_TO_END) && !connection.hostIsSilent())
            .min(Comparator.comparing(Held::hostCarriesSessions)
                .thenComparing(Held::isOnlyOneOfHost)
                .thenComparing(connection -> !connection.listenedLongEnough())
                .thenComparing(connection -> connection.hostHasUnendedFor(0))
                .thenComparing(connection -> !connection.life().isAccepted())
                .thenComparing(Held::mayHoldUnsaidEnds)
                .thenComparingLong(connection -> connection.life().usedAt()));
    }

    /**
     * The half-closed one to be closed though its host has not ended it; none where a host may yet say an end there: one of a host that
     * carries no sessions, or whose process has run since and keeps its side. For a host that carries sessions and has no connection one
     * that the other host's process has taken goes, too, once that has had the time to end it: where it says an end there, it says that
     * again on the one in its queue; at last the oldest, though it has none, also where that was never taken: for each host that is silent one, as
     * its machine may have vanished and will never end any.
     */
    Optional<C> closable(Purpose purpose, long now) {
        return firstEnding(connection -> !connection.hostCarriesSessions())
            .or(() -> firstEnding(connection -> connection.life().notEndedFor(END_TIMEOUT, now)))
            .or(() -> reaches(purpose) ? firstEnding(connection -> isOverdue(connection, now) && connection.hostHasQueued()) : Optional.empty())
            .or(() -> purpose == Purpose.REACH_AT_LAST ? firstEnding(connection -> isOverdue(connection, now)) : Optional.empty())
            .or(() -> purpose == Purpose.REACH_AT_LAST ? firstEnding(connection -> connection.life().givenUpFor(END_TIMEOUT, now)
                && !connection.hostIsSilent()) : Optional.empty());
    }

    private static boolean reaches(Purpose purpose) {
        return purpose == Purpose.REACH || purpose == Purpose.REACH_AT_LAST;
    }

    private boolean isOverdue(C connection, long now) {
        return connection.life().isAccepted() && connection.life().givenUpFor(END_TIMEOUT, now);
    }

    private Optional<C> firstEnding(Predicate<C> which) {
        return ending.stream().filter(which).findFirst();
    }
}
