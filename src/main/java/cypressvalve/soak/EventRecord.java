package cypressvalve.soak;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** All that the parties outside the gateway saw and did, on one clock. Safe for use by many threads. */
public final class EventRecord {
    private static final long NANOS_PER_MICRO = 1_000;

    private final long start = System.nanoTime();
    private final List<Event> events = new ArrayList<>();
    /** The gateway's process at the other end of each client connection. */
    private final Map<String, String> processOfConnection = new ConcurrentHashMap<>();
    private final Map<String, String> processOfRequest = new ConcurrentHashMap<>();

    /** Microseconds since this record was begun. */
    public long now() {
        return atNanos(System.nanoTime());
    }

    /** The same at that time of System.nanoTime(), which all processes of a machine share. */
    long atNanos(long nanoTime) {
        return (nanoTime - start) / NANOS_PER_MICRO;
    }

    /** Adds what happens now. */
    public void add(Event.Kind kind, String party, String request, String detail) {
        add(now(), kind, party, request, detail);
    }

    /** Adds what happened at that time, in microseconds of {@link #now}. */
    public synchronized void add(long atMicros, Event.Kind kind, String party, String request, String detail) {
        String oneLine = detail.replace("\r", "\\r").replace("\n", "\\n");
        events.add(new Event(atMicros, kind, party, request, oneLine));
        if (kind == Event.Kind.CLIENT_CONNECTED) {
            processOfConnection.put(party, detail);
        } else if (kind == Event.Kind.REQUEST_OFFERED && processOfConnection.containsKey(party)) {
            processOfRequest.put(request, processOfConnection.get(party));
        } else if (kind == Event.Kind.SESSION_HANDED_OVER) {
            processOfRequest.put(request, detail);
        }
        notifyAll();
    }

    /** The gateway's process that a request was sent to, or its session handed over to last; null where none is known. */
    String processOf(String request) {
        return processOfRequest.get(request);
    }

    /** A copy, in order of time. */
    public synchronized List<Event> events() {
        List<Event> sorted = new ArrayList<>(events);
        sorted.sort(Comparator.comparingLong(Event::atMicros));
        return sorted;
    }

    /** How many events of that kind there are. */
    public synchronized long count(Event.Kind kind) {
        return events.stream().filter(e -> e.kind() == kind).count();
    }

    /**
     * Waits until there are so many events of that kind.
     *
     * @return false if they did not come in that time
     */
    public boolean await(Event.Kind kind, long wanted, long mostMillis) throws InterruptedException {
        return await(Set.of(kind), wanted, mostMillis);
    }

    /**
     * Waits until there are so many events of those kinds together.
     *
     * @return false if they did not come in that time
     */
    public synchronized boolean await(Set<Event.Kind> kinds, long wanted, long mostMillis) throws InterruptedException {
        long until = System.currentTimeMillis() + mostMillis;
        while (events.stream().filter(e -> kinds.contains(e.kind())).count() < wanted) {
            long left = until - System.currentTimeMillis();
            if (left <= 0) {
                return false;
            }
            wait(left);
        }
        return true;
    }
}
