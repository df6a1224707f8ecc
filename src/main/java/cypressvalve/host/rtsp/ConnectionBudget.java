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

    /** What a connection is wanted for. */
    enum Purpose {
        /** Something is to be sent now. */
        SEND,
        /** The host may have something to say on a new connection. */
        LISTEN,
        /** The host carries sessions and has no connection. */
        REACH
    }

    /** A connection that is held. */
    interface Held {
        ConnectionLife life();

        /** Whether its host carries sessions, whose ends it says on its connections. */
        boolean hostCarriesSessions();

        /** Whether nothing is open on it, so that it may be half-closed. */
        boolean mayMakeRoom();

        /** Whether its host has said what it had to say on a new connection, or had the time for it. */
        boolean listenedLongEnough();

        /** Whether its host has another connection that is half-closed, and has not ended that. */
        boolean hostHasUnended();

        /** Whether its host has said nothing anywhere since it could have said something on it. */
        boolean mayHoldUnsaidEnds();
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

    /** The one to be half-closed for another; none where all are in use. */
    Optional<C> leastNeeded(Purpose purpose) {
        return held.stream().filter(connection -> connection.mayMakeRoom() && (purpose == Purpose.SEND || connection.listenedLongEnough()))
            .min(Comparator.comparing(Held::hostCarriesSessions)
                .thenComparing(connection -> !connection.listenedLongEnough())
                .thenComparing(Held::hostHasUnended)
                .thenComparing(connection -> !connection.life().isAccepted())
                .thenComparing(Held::mayHoldUnsaidEnds)
                .thenComparingLong(connection -> connection.life().usedAt()));
    }

    /**
     * The half-closed one to be closed though its host has not ended it; none where a host may yet say an end there: one of a host that
     * carries no sessions, or whose process has run since and keeps its side. For a host that carries sessions and has no connection the
     * oldest that the other host's process has taken goes, too, once that has had the time to end it.
     */
    Optional<C> closable(Purpose purpose, long now) {
        return firstEnding(connection -> !connection.hostCarriesSessions())
            .or(() -> firstEnding(connection -> connection.life().notEndedFor(END_TIMEOUT, now)))
            .or(() -> purpose == Purpose.REACH ? firstEnding(connection -> connection.life().isAccepted()
                && connection.life().givenUpFor(END_TIMEOUT, now)) : Optional.empty());
    }

    private Optional<C> firstEnding(Predicate<C> which) {
        return ending.stream().filter(which).findFirst();
    }
}
