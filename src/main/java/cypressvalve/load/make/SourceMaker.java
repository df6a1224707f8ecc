package cypressvalve.load.make;

import cypressvalve.config.Service;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.OutputStreamWriter;
import java.io.Writer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.TreeMap;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;
import java.util.zip.GZIPOutputStream;

/**
 * Makes sources of load for tests and measurements, as several server programs would have written them, with what
 * goes wrong in real ones: lines lost, clocks set, lines cut or mangled, plans nobody knows. Tells the truth beside it.
 */
public final class SourceMaker {
    private static final long SECOND = 1_000_000_000L;
    /** All sources begin there, a Monday morning, so that the same seed makes the same bytes. */
    private static final long BEGINS = 1_767_600_000L * SECOND;

    /**
     * What goes wrong. Spans in nanoseconds from the beginning.
     *
     * @param lostFrom lines of that span are missing
     * @param leapAt the clock is set by leapBy from then on, forward or back
     * @param badShare share of lines cut or mangled, beside the good ones
     * @param strangeShare share of requests to watch for plans nobody knows, beside the good ones
     * @param swapped lines are up to this late in the file
     */
    public record Faults(long lostFrom, long lostTo, long leapAt, long leapBy, double badShare, double strangeShare,
        long swapped) {
        /** Nothing goes wrong. */
        public static final Faults NONE = new Faults(0, 0, 0, 0, 0, 0, 0);
    }

    /**
     * What the source holds, as it truly was.
     *
     * @param asks requests to watch, by title, plan and second since 1970 of their coming, lost ones left out
     * @param times all their times in order, nanoseconds since 1970
     */
    public record Truth(Map<String, Integer> asks, long[] times, long lines, long bad, long strange, long lost) {
        /** The name of a cell of the counts. */
        public static String cell(String title, String plan, long at) {
            return title + " " + plan + " " + Math.floorDiv(at, SECOND);
        }
    }

    private record Line(Request request, long at, long number) { }

    private SourceMaker() {
    }

    /** Names of the forms, in lower case. */
    public static List<String> forms() {
        return java.util.Arrays.stream(Form.values()).map(f -> f.name().toLowerCase(java.util.Locale.ROOT)).toList();
    }

    /** The mapping that reads a form, as YAML. */
    public static String mapping(String form) throws IOException {
        try (InputStream in = SourceMaker.class.getResourceAsStream("/load/" + form + ".yaml")) {
            return new String(in.readAllBytes(), StandardCharsets.UTF_8);
        }
    }

    /**
     * Writes a source, gzip if its name ends so.
     *
     * @param service whose titles, plans and tenants viewers want
     * @param rate viewers a second
     * @param viewers at most
     */
    public static Truth make(Path to, String form, Service service, long seed, long span, double rate, int viewers,
        long meanLength, Faults faults) throws IOException {
        RandomGenerator chance = RandomGeneratorFactory.of("L64X128MixRandom").create(seed);
        Viewers crowd = new Viewers(service, chance, BEGINS, span, rate, meanLength);
        crowd.atMost(viewers);
        RandomGenerator wrong = RandomGeneratorFactory.of("L64X128MixRandom").create(seed + 1);
        Form as = Form.valueOf(form.toUpperCase(java.util.Locale.ROOT));
        Map<String, Integer> asks = new TreeMap<>();
        java.util.stream.LongStream.Builder times = java.util.stream.LongStream.builder();
        long[] counts = new long[4];
        try (OutputStream raw = Files.newOutputStream(to);
            OutputStream packed = to.toString().endsWith(".gz") ? new GZIPOutputStream(raw, 1 << 16) : raw;
            Writer out = new java.io.BufferedWriter(new OutputStreamWriter(packed, StandardCharsets.UTF_8), 1 << 16)) {
            as.begin(out);
            PriorityQueue<Line> waiting = new PriorityQueue<>(Comparator.comparingLong(Line::at)
                .thenComparingLong(Line::number));
            long number = 0;
            for (Request r = crowd.next(); r != null; r = crowd.next()) {
                long at = (as.atEnd() ? r.logged() : r.at())
                    + (faults.swapped > 0 ? (long) (wrong.nextDouble() * faults.swapped) : 0);
                waiting.add(new Line(r, at, number++));
                // No request yet to come is logged before it comes.
                while (!waiting.isEmpty() && waiting.peek().at <= r.at()) {
                    write(waiting.poll().request, as, out, faults, wrong, asks, times, counts);
                }
            }
            while (!waiting.isEmpty()) {
                write(waiting.poll().request, as, out, faults, wrong, asks, times, counts);
            }
            as.end(out);
        }
        return new Truth(asks, times.build().sorted().toArray(), counts[0], counts[1], counts[2], counts[3]);
    }

    private static void write(Request r, Form as, Writer out, Faults faults, RandomGenerator wrong,
        Map<String, Integer> asks, java.util.stream.LongStream.Builder times, long[] counts) throws IOException {
        long into = r.logged() - BEGINS;
        if (faults.lostTo > faults.lostFrom && into >= faults.lostFrom && into < faults.lostTo) {
            counts[3]++;
            return;
        }
        long clock = faults.leapBy != 0 && into >= faults.leapAt ? faults.leapBy : 0;
        if (wrong.nextDouble() < faults.badShare && as != Form.HAR) {
            java.io.StringWriter whole = new java.io.StringWriter();
            as.write(r, clock, whole);
            out.write(mangled(whole.toString().stripTrailing(), wrong) + "\n");
            counts[0]++;
            counts[1]++;
        }
        if (r.segment() < 0 && wrong.nextDouble() < faults.strangeShare) {
            as.write(new Request(r.at(), r.took(), -1, "192.0.2.1", r.agent(), "strange-" + counts[2], r.title(),
                "nobody-knows", r.tenant(), r.rung(), -1, r.status(), r.bytes()), clock, out);
            counts[0]++;
            counts[2]++;
        }
        as.write(r, clock, out);
        counts[0]++;
        if (r.segment() < 0) {
            asks.merge(Truth.cell(r.title(), r.plan(), r.at()), 1, Integer::sum);
            times.add(r.at());
        }
    }

    /** A line cut before its half, or its beginning written over: what a full disk and two writers leave. */
    private static String mangled(String line, RandomGenerator wrong) {
        return wrong.nextBoolean() ? line.substring(0, Math.max(1, line.length() / 3)) : "\u0001\u0002" + line.substring(
            Math.min(line.length(), 9)).replace('[', '\u0003').replace('|', '\u0004').replace('{', '\u0005')
            .replace('-', '\u0006');
    }
}
