package cypressvalve.diagnostics;

import java.time.Instant;
import java.util.function.Consumer;

/**
 * The last events of one gateway in bounded memory, for finding the cause of a failure afterwards. Recording allocates
 * nothing and formats nothing; entries become text when they are written out. Used on the gateway's I/O thread only.
 */
public final class EventLog {
    /** Number for an entry that concerns no connection or no media host. */
    public static final long NONE = -1;
    private static final long MICROS_PER_SECOND = 1_000_000;
    private static final long NANOS_PER_MICRO = 1_000;

    private static final class Entry {
        private long at;
        private EventKind kind;
        private String request;
        private long connection;
        private long host;
        private Object detail;
    }

    private final Entry[] entries;
    private final Consumer<String> live;
    private final long startNanos = System.nanoTime();
    private final long startMicros;
    private long recorded;

    /** @param capacity how many of the last entries are kept */
    public EventLog(int capacity) {
        this(capacity, null);
    }

    /** @param live takes each entry as text at once; null where they are only kept */
    public EventLog(int capacity, Consumer<String> live) {
        entries = new Entry[capacity];
        for (int i = 0; i < capacity; i++) {
            entries[i] = new Entry();
        }
        this.live = live;
        Instant now = Instant.now();
        startMicros = now.getEpochSecond() * MICROS_PER_SECOND + now.getNano() / NANOS_PER_MICRO;
    }

    /**
     * Keeps one entry.
     *
     * @param request the id of the request, session or attempt; null if it concerns none
     * @param connection the gateway's own number of the connection, or {@link #NONE}
     * @param host the media host's number, or {@link #NONE}
     * @param detail a reason, a verdict or a short text; made into text only when written out
     */
    public void record(EventKind kind, String request, long connection, long host, Object detail) {
        Entry entry = entries[(int) (recorded++ % entries.length)];
        entry.at = System.nanoTime();
        entry.kind = kind;
        entry.request = request;
        entry.connection = connection;
        entry.host = host;
        entry.detail = detail;
        if (live != null) {
            live.accept(text(entry));
        }
    }

    /** Keeps an entry that concerns neither request, connection nor host. */
    public void record(EventKind kind, Object detail) {
        record(kind, null, NONE, NONE, detail);
    }

    /** Hands over what is kept as text, the oldest first, at most so many of the last entries. */
    public void writeTo(Consumer<String> lines, int most) {
        long kept = Math.min(recorded, entries.length);
        for (long i = recorded - Math.min(kept, most); i < recorded; i++) {
            lines.accept(text(entries[(int) (i % entries.length)]));
        }
    }

    /** With the time as Unix seconds: a process on little of a core writes many of these. */
    private String text(Entry entry) {
        long micros = startMicros + (entry.at - startNanos) / NANOS_PER_MICRO;
        String fraction = Long.toString(MICROS_PER_SECOND + micros % MICROS_PER_SECOND);
        StringBuilder line = new StringBuilder(96).append("event ").append(micros / MICROS_PER_SECOND).append('.')
            .append(fraction, 1, fraction.length()).append(' ').append(entry.kind);
        if (entry.request != null) {
            line.append(" request=").append(entry.request);
        }
        if (entry.connection != NONE) {
            line.append(" connection=").append(entry.connection);
        }
        if (entry.host != NONE) {
            line.append(" host=").append(Long.toHexString(entry.host));
        }
        return (entry.detail == null ? line : line.append(" detail=").append(entry.detail)).toString();
    }
}
