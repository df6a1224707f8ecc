package cypressvalve.diagnostics;

import java.util.Collection;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.Map;

/**
 * The protocol's rules on requests as invariants of one gateway, apart from the code that is to keep them: each request has one
 * final answer, no attempt begins after that or for a client that has gone, no two attempts of a request are out at once, none
 * is sent to a media host that the list does not name as serving, no connection is closed over an open request, and the end of a
 * session is told while that is in time. What would break one is refused where that can be, and counted. Free of I/O and clocks; used on the gateway's loop.
 */
public final class RequestInvariants {
    /** What must not happen. */
    public enum Violation {
        /** An attempt for a request that was answered, cancelled or never received. */
        ATTEMPT_AFTER_END,
        /** An attempt while another of the same request may be out. */
        SECOND_ATTEMPT_OUT,
        /** An attempt at a media host that drains, has gone or was never listed. */
        ATTEMPT_AT_HOST_NOT_SERVING,
        /** A second final answer. */
        SECOND_ANSWER,
        /** The gateway closed a connection with a request open on it. */
        CLOSED_OVER_OPEN_REQUEST,
        /** The process ended with a request open. */
        ENDED_WITH_OPEN_REQUEST,
        /** The end of a session was given up, though a client was connected that could have been told. */
        END_NOT_TOLD,
        /** A media host's process was known to be there last so long ago that its sessions' ends can't be told in time any more. */
        HOST_DECIDED_LATE
    }

    /** The protocol's time for an end that nobody can say, with its slack. */
    private static final long UNSAID_END_NANOS = 8_050_000_000L;

    /** Of an open request: the media host where an attempt may be out, or none. */
    private final Map<String, Long> open = new HashMap<>();
    private final Map<Violation, Long> counts = new EnumMap<>(Violation.class);
    private final EventLog events;

    /** @param events takes each violation */
    public RequestInvariants(EventLog events) {
        this.events = events;
    }

    private boolean check(boolean holds, Violation violation, String request, long host) {
        if (!holds) {
            counts.merge(violation, 1L, Long::sum);
            events.record(EventKind.INVARIANT_VIOLATED, request, EventLog.NONE, host, violation);
        }
        return holds;
    }

    /** A request was received whole and is owed an answer. */
    public void received(String request) {
        open.put(request, EventLog.NONE);
    }

    /** Whether it is owed an answer. */
    public boolean isOpen(String request) {
        return open.containsKey(request);
    }

    /** Whether its final answer may be written; it is over then. */
    public boolean answer(String request) {
        return check(open.remove(request) != null, Violation.SECOND_ANSWER, request, EventLog.NONE);
    }

    /** Its client has cancelled it or gone. */
    public void cancelled(String request) {
        open.remove(request);
    }

    /**
     * Whether an attempt may be written.
     *
     * @param serving whether the list names that media host as one that may be sent something new
     */
    public boolean maySend(String request, long host, boolean serving) {
        Long out = open.get(request);
        return check(out != null, Violation.ATTEMPT_AFTER_END, request, host)
            && check(out == EventLog.NONE, Violation.SECOND_ATTEMPT_OUT, request, host)
            && check(serving, Violation.ATTEMPT_AT_HOST_NOT_SERVING, request, host);
    }

    /** An attempt is written to that media host. */
    public void sent(String request, long host) {
        open.replace(request, host);
    }

    /** Its attempt is known to be over, or never left. */
    public void over(String request) {
        open.replace(request, EventLog.NONE);
    }

    /** The gateway closes a connection on which these requests are open; they can't be answered any more. */
    public void closing(Collection<String> requests) {
        for (String request : requests) {
            check(open.remove(request) == null, Violation.CLOSED_OVER_OPEN_REQUEST, request, EventLog.NONE);
        }
    }

    /** The process ends. */
    public void ending() {
        open.keySet().forEach(request -> check(false, Violation.ENDED_WITH_OPEN_REQUEST, request, EventLog.NONE));
        open.clear();
    }

    /**
     * The end of a session that stood is not kept any longer for its client.
     *
     * @param told whether it was written to a connection that has not lost it
     * @param connected whether a client is connected
     */
    public void endGivenUp(String session, boolean told, boolean connected) {
        check(told || !connected, Violation.END_NOT_TOLD, session, EventLog.NONE);
    }

    /**
     * What a media host carried counts as over.
     *
     * @param unknownFor nanoseconds since its process was known to be there last
     */
    public void hostDecided(long host, long unknownFor) {
        check(unknownFor < UNSAID_END_NANOS, Violation.HOST_DECIDED_LATE, null, host);
    }

    /** Requests that are owed an answer. */
    public int openRequests() {
        return open.size();
    }

    /** How often invariants were violated, by kind; empty if never. */
    public Map<Violation, Long> counts() {
        return Map.copyOf(counts);
    }
}
