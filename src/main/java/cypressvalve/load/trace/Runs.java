package cypressvalve.load.trace;

import cypressvalve.load.sessions.Played;
import cypressvalve.load.trace.wire.Header;
import java.io.Closeable;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;

/**
 * Sorts any number of playbacks by their beginnings in bounded memory: runs of so many are sorted and put on disk,
 * then merged.
 */
public final class Runs implements Closeable {
    /** The order of a trace; beyond the time it only has to be the same each time. */
    public static final Comparator<Played> ORDER = Comparator.<Played>comparingLong(Played::at)
        .thenComparingLong(p -> p.keys().isEmpty() ? 0 : p.keys().get(0)).thenComparing(Played::title)
        .thenComparing(Played::plan);

    /** Where sorted playbacks go. */
    public interface To {
        void put(Played playback) throws IOException;
    }

    private final Path directory;
    private final int most;
    private final List<Played> held = new ArrayList<>();
    private final List<Path> runs = new ArrayList<>();
    private long count;
    private long tries;
    private long first = Long.MAX_VALUE;
    private long last = Long.MIN_VALUE;

    /** @param most playbacks held in memory at once */
    public Runs(int most) throws IOException {
        this.most = most;
        directory = Files.createTempDirectory("cypressvalve-runs");
    }

    /** Adds a playback, in any order. */
    public void add(Played p) throws IOException {
        held.add(p);
        count++;
        tries += p.tries().size();
        first = Math.min(first, p.at());
        last = Math.max(last, p.end());
        if (held.size() >= most) {
            spill();
        }
    }

    private void spill() throws IOException {
        held.sort(ORDER);
        Path run = directory.resolve("run-" + runs.size());
        try (TraceWriter out = new TraceWriter(run, Header.getDefaultInstance())) {
            for (Played p : held) {
                out.put(p);
            }
            out.finish();
        }
        runs.add(run);
        held.clear();
    }

    public long count() {
        return count;
    }

    /** Requests to watch, first and further ones. */
    public long tries() {
        return tries;
    }

    /** The earliest beginning, nanoseconds since 1970; 0 if there is none. */
    public long first() {
        return count == 0 ? 0 : first;
    }

    /** The latest request. */
    public long last() {
        return count == 0 ? 0 : last;
    }

    /** Hands on all playbacks in their order. */
    public void drain(To to) throws IOException {
        held.sort(ORDER);
        if (runs.isEmpty()) {
            for (Played p : held) {
                to.put(p);
            }
            return;
        }
        spill();
        List<TraceReader> open = new ArrayList<>();
        try {
            PriorityQueue<TraceReader> next = new PriorityQueue<>((a, b) -> ORDER.compare(head(a), head(b)));
            for (Path run : runs) {
                TraceReader reader = TraceReader.open(run);
                open.add(reader);
                if (reader.peek() != null) {
                    next.add(reader);
                }
            }
            while (!next.isEmpty()) {
                TraceReader reader = next.poll();
                to.put(reader.next());
                if (reader.peek() != null) {
                    next.add(reader);
                }
            }
        } finally {
            for (TraceReader reader : open) {
                reader.close();
            }
        }
    }

    private static Played head(TraceReader reader) {
        try {
            return reader.peek();
        } catch (IOException e) {
            throw new java.io.UncheckedIOException(e);
        }
    }

    @Override
    public void close() throws IOException {
        for (Path run : runs) {
            Files.deleteIfExists(run);
        }
        Files.deleteIfExists(directory);
    }
}
