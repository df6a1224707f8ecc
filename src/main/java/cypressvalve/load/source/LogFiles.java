package cypressvalve.load.source;

import java.io.BufferedInputStream;
import java.io.EOFException;
import java.io.FilterInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.zip.GZIPInputStream;
import java.util.zip.ZipException;

/** The files of one server, plain or gzip, read in the order of their first requests, whatever order they are named in. */
public final class LogFiles implements Source {
    /** Lines looked at for a file's first request. */
    private static final int HEAD = 1000;

    private final List<Path> files;
    private final List<Integer> numbers;
    private final SourceSettings settings;
    private final int server;
    private final Times times;
    private int at = -1;
    private Source current;
    private long before;

    private LogFiles(List<Path> files, List<Integer> numbers, SourceSettings settings, int server) {
        this.files = files;
        this.numbers = numbers;
        this.settings = settings;
        this.server = server;
        this.times = new Times(settings.zone());
    }

    /**
     * Opens one server's files.
     *
     * @param first number of the first file; the rest follow as named
     */
    public static LogFiles open(List<Path> files, SourceSettings settings, int server, int first) throws IOException {
        List<long[]> order = new ArrayList<>();
        for (int i = 0; i < files.size(); i++) {
            order.add(new long[] {i, begins(files.get(i), settings)});
        }
        order.sort(Comparator.comparingLong(o -> o[1]));
        return new LogFiles(order.stream().map(o -> files.get((int) o[0])).toList(),
            order.stream().map(o -> first + (int) o[0]).toList(), settings, server);
    }

    private static long begins(Path file, SourceSettings settings) throws IOException {
        try (Source source = open(file, settings, new Times(settings.zone()), 0, 0)) {
            for (int i = 0; i < HEAD; i++) {
                Item item = source.next();
                if (item == null) {
                    break;
                }
                if (item.hit() != null) {
                    return item.hit().at();
                }
            }
        }
        return Long.MAX_VALUE;
    }

    private static final class Counted extends FilterInputStream {
        private long count;

        private Counted(InputStream in) {
            super(in);
        }

        @Override
        public int read() throws IOException {
            int b = super.read();
            count += b < 0 ? 0 : 1;
            return b;
        }

        @Override
        public int read(byte[] to, int from, int length) throws IOException {
            int n = super.read(to, from, length);
            count += Math.max(0, n);
            return n;
        }
    }

    private static Source open(Path file, SourceSettings settings, Times times, int server, int number)
        throws IOException {
        Counted raw = new Counted(new BufferedInputStream(Files.newInputStream(file), 1 << 16));
        try {
            InputStream in = gzip(file) ? new GZIPInputStream(raw, 1 << 16) : raw;
            HitMaker maker = new HitMaker(times, server, number);
            return settings.kind() == SourceSettings.Kind.HAR ? new HarReader(in, maker, number, () -> raw.count)
                : new Lines(in, raw, settings.lines(), maker, number);
        } catch (IOException e) {
            raw.close();
            throw new IOException(file + ": " + e.getMessage(), e);
        }
    }

    private static boolean gzip(Path file) throws IOException {
        try (InputStream in = Files.newInputStream(file)) {
            return in.read() == 0x1f && in.read() == 0x8b;
        }
    }

    /** One file's lines. */
    private static final class Lines implements Source {
        private final InputStream in;
        private final Counted raw;
        private final LineSplitter lines;
        private final LineReader reader;
        private final HitMaker maker;
        private final int number;
        private long line;
        private boolean over;

        private Lines(InputStream in, Counted raw, LineReader reader, HitMaker maker, int number) {
            this.in = in;
            this.raw = raw;
            this.lines = new LineSplitter(in);
            this.reader = reader;
            this.maker = maker;
            this.number = number;
        }

        @Override
        public Item next() throws IOException {
            if (over) {
                return null;
            }
            String text;
            try {
                text = lines.next();
            } catch (EOFException | ZipException e) {
                over = true;
                return Item.bad(number, ++line, new BadLine(1, "compressed data to its end: " + e.getMessage()));
            }
            if (text == null) {
                over = true;
                return null;
            }
            line++;
            try {
                if (lines.tooLong()) {
                    throw new BadLine(LineSplitter.LONGEST + 1, "a line of " + LineSplitter.LONGEST
                        + " bytes at most");
                }
                maker.begin();
                String reason = reader.read(text, maker);
                return reason == null ? Item.of(maker.hit(line)) : Item.aside(number, line, reason);
            } catch (BadLine e) {
                return Item.bad(number, line, e);
            }
        }

        @Override
        public long read() {
            return raw.count;
        }

        @Override
        public void close() throws IOException {
            in.close();
        }
    }

    @Override
    public Item next() throws IOException {
        while (true) {
            Item item = current == null ? null : current.next();
            if (item != null) {
                return item;
            }
            if (current != null) {
                before += current.read();
                current.close();
                current = null;
            }
            if (++at >= files.size()) {
                return null;
            }
            current = open(files.get(at), settings, times, server, numbers.get(at));
        }
    }

    @Override
    public long read() {
        return before + (current == null ? 0 : current.read());
    }

    @Override
    public void close() throws IOException {
        if (current != null) {
            current.close();
        }
    }
}
