package cypressvalve.load;

import cypressvalve.load.map.Mapping;
import cypressvalve.load.map.Meant;
import cypressvalve.load.sessions.ClockWatch;
import cypressvalve.load.sessions.Gap;
import cypressvalve.load.sessions.Ordering;
import cypressvalve.load.sessions.Played;
import cypressvalve.load.sessions.ServerClocks;
import cypressvalve.load.sessions.Sessionizer;
import cypressvalve.load.sessions.Tally;
import cypressvalve.load.source.Item;
import cypressvalve.load.source.LogFiles;
import cypressvalve.load.trace.Runs;
import cypressvalve.load.trace.TraceWriter;
import cypressvalve.load.trace.wire.Header;
import java.io.Closeable;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.function.DoubleConsumer;
import java.util.function.ToLongFunction;

/** From a source's lines to a trace: reads, finds what each line means, and has playbacks made of them. */
public final class Importer {
    /** Playbacks held in memory before they are put on disk to be sorted. */
    private static final int HELD = 20_000;
    /** Lines of each server that its clock's offset is found from. */
    private static final int CLOCK_LINES = 200_000;
    /** Lines between two words of progress. */
    private static final int PROGRESS = 50_000;

    private final Mapping mapping;
    private final String mappingText;
    private final ToLongFunction<String> hash;
    private final String ids;
    private final Tally tally = new Tally();
    private final List<Gap> gaps = new ArrayList<>();
    private final List<Path> files = new ArrayList<>();
    private final Map<String, Long> offsets = new LinkedHashMap<>();
    private Sessionizer sessions;
    private Ordering ordering;
    private long last = Long.MIN_VALUE;

    /**
     * @param hash of viewers' keys
     * @param ids how the hash is made, as the trace will say
     */
    public Importer(Mapping mapping, String mappingText, ToLongFunction<String> hash, String ids) {
        this.mapping = mapping;
        this.mappingText = mappingText;
        this.hash = hash;
        this.ids = ids;
    }

    /** Too many bad lines; no trace was written. */
    public static final class Refused extends IOException {
        private static final long serialVersionUID = 1;

        Refused(String why) {
            super(why);
        }
    }

    /** One server's lines, with their meaning, its clock watched. */
    private final class Feed implements Closeable, ClockWatch.To {
        private final LogFiles source;
        private final ClockWatch watch;
        private final ArrayDeque<Meant> ready = new ArrayDeque<>();
        private boolean over;

        private Feed(LogFiles source, int server, long offset) {
            this.source = source;
            this.watch = new ClockWatch(server, mapping.sessions(), offset, this);
        }

        /** The next line that means something, or null after the last. */
        private Meant peek() throws IOException {
            while (ready.isEmpty() && !over) {
                Item item = source.next();
                if (item == null) {
                    over = true;
                    watch.finish();
                    continue;
                }
                tally.line();
                if (item.hit() == null) {
                    if (item.bad()) {
                        tally.bad(files.get(item.file()) + ":" + item.line() + ":" + item.column() + ": expected "
                            + item.reason());
                    } else {
                        tally.aside(item.reason());
                    }
                    continue;
                }
                Mapping.Outcome outcome = mapping.meaning(item.hit());
                if (outcome.meant() == null) {
                    tally.aside(outcome.reason());
                    watch.tick(item.hit().at());
                } else {
                    watch.offer(outcome.meant());
                }
            }
            return ready.peek();
        }

        @Override
        public void pass(Meant line) {
            ready.add(line);
        }

        @Override
        public void outOfWindow(Meant line) {
            tally.aside("out of the window");
        }

        @Override
        public void found(Gap gap) {
            gaps.add(gap);
            sessions.found(gap);
        }

        @Override
        public void close() throws IOException {
            source.close();
        }
    }

    /**
     * Reads all files and writes the trace.
     *
     * @param servers files by server
     * @param acceptBad whether to write it however many lines are bad
     * @param progress told the share read so far, from 0 to 1
     * @throws Refused if more lines are bad than the mapping allows
     */
    public Header run(Map<String, List<Path>> servers, Path to, boolean acceptBad, DoubleConsumer progress)
        throws IOException {
        servers.values().forEach(files::addAll);
        long size = 0;
        for (Path file : files) {
            size += Files.size(file);
        }
        long[] known = offsets(servers);
        try (Runs runs = new Runs(HELD)) {
            sessions = new Sessionizer(mapping.sessions(), hash, new Sessionizer.To() {
                @Override
                public void played(Played playback) {
                    try {
                        runs.add(playback);
                    } catch (IOException e) {
                        throw new UncheckedIOException(e);
                    }
                }

                @Override
                public void used() {
                    tally.used();
                }

                @Override
                public void aside(String reason) {
                    tally.aside(reason);
                }
            });
            ordering = new Ordering(mapping.sessions().window(), mapping.sessions().heldLines(), m -> {
                last = Math.max(last, m.at());
                sessions.offer(m);
            }, m -> tally.aside("out of the window"));
            try {
                read(servers, known, size, progress);
            } catch (UncheckedIOException e) {
                throw e.getCause();
            }
            if (tally.classed() != tally.lines()) {
                throw new IllegalStateException(tally.lines() + " lines, but " + tally.classed() + " classed");
            }
            if (!acceptBad && tally.refused(mapping.badShare())) {
                throw new Refused(tally.badLines() + " of " + tally.lines() + " lines are bad, more than the share of "
                    + mapping.badShare() + " that limits.bad allows; the first: " + tally.examples().get(0));
            }
            Header header = header(servers, runs);
            try (TraceWriter out = new TraceWriter(to, header)) {
                runs.drain(out::put);
                out.finish();
            }
            return header;
        }
    }

    private void read(Map<String, List<Path>> servers, long[] known, long size, DoubleConsumer progress)
        throws IOException {
        List<Feed> feeds = new ArrayList<>();
        try {
            int number = 0;
            for (Map.Entry<String, List<Path>> server : servers.entrySet()) {
                int n = feeds.size();
                feeds.add(new Feed(LogFiles.open(server.getValue(), mapping.source(), n, number), n, known[n]));
                number += server.getValue().size();
            }
            PriorityQueue<Feed> next = new PriorityQueue<>(Comparator.comparingLong(f -> f.ready.peek().at()));
            for (Feed feed : feeds) {
                if (feed.peek() != null) {
                    next.add(feed);
                }
            }
            long told = 0;
            while (!next.isEmpty()) {
                Feed feed = next.poll();
                ordering.offer(feed.ready.poll());
                if (feed.peek() != null) {
                    next.add(feed);
                }
                if (tally.lines() - told >= PROGRESS) {
                    told = tally.lines();
                    progress.accept(Math.min(1, feeds.stream().mapToLong(f -> f.source.read()).sum()
                        / (double) Math.max(1, size)));
                }
            }
            ordering.finish();
            sessions.finish();
        } finally {
            for (Feed feed : feeds) {
                feed.close();
            }
        }
    }

    /** Each server's offset: as the mapping states it, else found, else 0. */
    private long[] offsets(Map<String, List<Path>> servers) throws IOException {
        long[] known = new long[servers.size()];
        if (mapping.findOffsets() && servers.size() > 1) {
            ServerClocks clocks = new ServerClocks();
            int server = 0;
            for (List<Path> of : servers.values()) {
                try (LogFiles source = LogFiles.open(of, mapping.source(), server++, 0)) {
                    Item item = source.next();
                    for (int i = 0; item != null && i < CLOCK_LINES; i++, item = source.next()) {
                        Meant m = item.hit() == null ? null : mapping.meaning(item.hit()).meant();
                        if (m != null && m.segment() >= 0) {
                            clocks.seen(m.hit().server(), m.keys().get(0), m.segment(), m.at());
                        }
                    }
                }
            }
            known = clocks.offsets(servers.size());
        }
        int i = 0;
        for (String server : servers.keySet()) {
            known[i] = mapping.offsets().getOrDefault(server, known[i]);
            offsets.put(server, known[i]);
            i++;
        }
        return known;
    }

    private Header header(Map<String, List<Path>> servers, Runs runs) throws IOException {
        Header.Builder header = Header.newBuilder().setBegins(runs.first())
            .setSpan(runs.count() == 0 ? 0 : last - runs.first())
            .setMapping(mappingText).setLines(tally.lines()).setUsed(tally.usedLines()).putAllAside(tally.aside())
            .setBad(tally.badLines()).setIds(ids).setPlaybacks(runs.count()).setTries(runs.tries())
            .setIdle(mapping.sessions().idle());
        for (Path file : files) {
            header.addSources(cypressvalve.load.trace.wire.Source.newBuilder()
                .setName(file.getFileName().toString()).setBytes(Files.size(file)));
        }
        for (Gap gap : gaps) {
            header.addGaps(cypressvalve.load.trace.wire.Gap.newBuilder().setFrom(gap.from()).setTo(gap.to())
                .setKind(gap.kind().name().toLowerCase(java.util.Locale.ROOT)).setPlaying(gap.playing())
                .setCameBack(gap.cameBack()));
        }
        return header.build();
    }

    /** The lines' classes. */
    public Tally tally() {
        return tally;
    }

    /** What was added to each server's times, nanoseconds. */
    public Map<String, Long> offsetsUsed() {
        return offsets;
    }

    /** Playbacks ended early to keep to the budget, viewers that moved, most held at once, lines let go early. */
    public long[] strains() {
        return new long[] {sessions.tooMany(), sessions.movedViewers(), sessions.mostHeld(), ordering.early()};
    }
}
