package cypressvalve.tape;

import com.fasterxml.jackson.core.JsonEncoding;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.Closeable;
import java.io.IOException;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

/**
 * What the sockets of players, media hosts and the list service carried, one JSON object a line; docs/rehearsal.md
 * lists the records. Any thread may write. Times are nanoseconds since 1970 by a clock that only advances.
 */
public final class Tape implements Closeable {
    private static final ObjectMapper JSON = new ObjectMapper();

    private final LongSupplier clock;
    private final JsonGenerator out;
    private final List<Consumer<TapeRecord>> readers = new ArrayList<>();

    /** @param to the file's stream, or null for a tape that only its readers hear */
    private Tape(OutputStream to, LongSupplier clock) throws IOException {
        this.clock = clock;
        out = to == null ? null : JSON.getFactory().createGenerator(to, JsonEncoding.UTF8).setRootValueSeparator(null);
    }

    private static LongSupplier advancing() {
        Instant wall = Instant.now();
        long offset = wall.getEpochSecond() * 1_000_000_000L + wall.getNano() - System.nanoTime();
        return () -> System.nanoTime() + offset;
    }

    /** A tape in a file, which is replaced. */
    public static Tape file(Path path) throws IOException {
        return new Tape(new java.io.BufferedOutputStream(Files.newOutputStream(path), 1 << 16), advancing());
    }

    /** A tape that is not kept. */
    public static Tape heard() {
        return heard(advancing());
    }

    /** A tape that is not kept, by another clock: nanoseconds since 1970. */
    public static Tape heard(LongSupplier clock) {
        try {
            return new Tape(null, clock);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Hands each record from now on to the reader too, one at a time. */
    public synchronized void also(Consumer<TapeRecord> reader) {
        readers.add(reader);
    }

    /** The time now. */
    public long now() {
        return clock.getAsLong();
    }

    /**
     * Writes a record at the time now.
     *
     * @param by whose socket or deed it was, such as player, host, list, gateway, fault
     * @param fields names and values in turn
     */
    public void put(String by, String kind, Object... fields) {
        Map<String, Object> values = new java.util.LinkedHashMap<>();
        for (int i = 0; i < fields.length; i += 2) {
            values.put((String) fields[i], fields[i + 1]);
        }
        synchronized (this) {
            copy(new TapeRecord(now(), by, kind, values));
        }
    }

    /** Writes a record as it is, its time included. */
    public void copy(TapeRecord record) {
        synchronized (this) {
            readers.forEach(r -> r.accept(record));
            if (out == null) {
                return;
            }
            try {
                out.writeStartObject();
                out.writeNumberField("t", record.t());
                out.writeStringField("by", record.by());
                out.writeStringField("kind", record.kind());
                for (Map.Entry<String, Object> field : record.fields().entrySet()) {
                    out.writePOJOField(field.getKey(), field.getValue());
                }
                out.writeEndObject();
                out.writeRaw('\n');
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        }
    }

    @Override
    public synchronized void close() throws IOException {
        if (out != null) {
            out.close();
        }
    }
}
