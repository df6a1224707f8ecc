package cypressvalve.load.report;

import cypressvalve.tape.TapeReader;
import cypressvalve.tape.TapeRecord;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;
import org.HdrHistogram.HistogramLogWriter;

/** A run as its tape shows it, second by second. */
public final class RunFacts {
    private static final long SECOND = 1_000_000_000L;
    private static final long LONGEST = 120 * SECOND;

    /** One second of a run. */
    static final class Second {
        int offered;
        int served;
        int rejected;
        int aborted;
        int unreached;
        int breaks;
        int segments;
        double rungs;
        double late;
        final Histogram startup = new Histogram(LONGEST, 2);
    }

    private final String name;
    private final TreeMap<Integer, Second> seconds = new TreeMap<>();
    private final Histogram startup = new Histogram(LONGEST, 3);
    private final List<Plots.Span> troubles = new ArrayList<>();
    private final Map<String, Double> open = new HashMap<>();
    private long begins = -1;
    private double segment = 1;
    private int last;

    private RunFacts(String name) {
        this.name = name;
    }

    /** Reads a tape. */
    public static RunFacts read(Path tape) throws IOException {
        RunFacts facts = new RunFacts(tape.getFileName().toString());
        TapeReader.read(tape, facts::accept);
        facts.open.forEach((trouble, from) -> facts.troubles.add(new Plots.Span(trouble.split(" ")[0], from, facts.last)));
        return facts;
    }

    private double at(TapeRecord r) {
        return begins < 0 ? 0 : (r.t() - begins) / (double) SECOND;
    }

    private Second second(TapeRecord r) {
        int s = (int) Math.max(0, Math.floor(at(r)));
        last = Math.max(last, s);
        return seconds.computeIfAbsent(s, k -> new Second());
    }

    private void accept(TapeRecord r) {
        switch (r.by() + "/" + r.kind()) {
            case "rehearsal/terms" -> segment = Math.max(1, r.number("segment")) / SECOND;
            case "rehearsal/begins" -> begins = begins < 0 ? r.t() : begins;
            case "player/ask" -> second(r).offered++;
            case "player/answer" -> answer(r);
            case "player/no-answer" -> second(r).aborted++;
            case "player/unreached" -> second(r).unreached++;
            case "player/broken" -> second(r).breaks++;
            case "player/segment" -> {
                Second s = second(r);
                s.segments++;
                s.late += r.whole("late") / (double) SECOND;
                s.rungs += r.text("rung").isEmpty() ? 0 : Double.parseDouble(r.text("rung"));
            }
            case "fault/begins" -> open.put(r.text("trouble") + " " + r.text("struck"), at(r));
            case "fault/ends" -> {
                Double from = open.remove(r.text("trouble") + " " + r.text("struck"));
                if (from != null) {
                    troubles.add(new Plots.Span(r.text("trouble"), from, at(r)));
                }
            }
            default -> { }
        }
    }

    private void answer(TapeRecord r) {
        Second s = second(r);
        switch ((int) r.whole("status")) {
            case 200 -> {
                s.served++;
                long took = Math.max(0, Math.min(LONGEST, r.whole("took")));
                s.startup.recordValue(took);
                startup.recordValue(took);
            }
            case 503 -> s.rejected++;
            default -> s.aborted++;
        }
    }

    String name() {
        return name;
    }

    List<Plots.Span> troubles() {
        return troubles;
    }

    Histogram startup() {
        return startup;
    }

    long sum(java.util.function.ToIntFunction<Second> of) {
        return seconds.values().stream().mapToLong(of::applyAsInt).sum();
    }

    /** Share of played time over played and stalled time. */
    double delivered() {
        double played = sum(s -> s.segments) * segment;
        double late = seconds.values().stream().mapToDouble(s -> s.late).sum();
        return played == 0 ? 1 : played / (played + late);
    }

    double meanRung() {
        long n = sum(s -> s.segments);
        return n == 0 ? 0 : seconds.values().stream().mapToDouble(s -> s.rungs).sum() / n;
    }

    /** A value of each second as a line; seconds without records count as empty ones. */
    Plots.Line line(String of, java.util.function.ToDoubleFunction<Second> value) {
        double[] x = new double[last + 1];
        double[] y = new double[last + 1];
        Second none = new Second();
        for (int i = 0; i <= last; i++) {
            x[i] = i;
            y[i] = value.applyAsDouble(seconds.getOrDefault(i, none));
        }
        return new Plots.Line(of, x, y);
    }

    double deliveredIn(Second s) {
        return s.segments == 0 ? 1 : s.segments * segment / (s.segments * segment + s.late);
    }

    /** Writes startup times second by second in HdrHistogram's log form, nanoseconds. */
    public void histograms(Path to) throws IOException {
        try (PrintStream out = new PrintStream(Files.newOutputStream(to), false, StandardCharsets.UTF_8)) {
            HistogramLogWriter writer = new HistogramLogWriter(out);
            writer.outputLogFormatVersion();
            writer.outputComment("startup times of " + name + ", nanoseconds");
            writer.outputLegend();
            seconds.forEach((s, facts) -> {
                facts.startup.setStartTimeStamp(s * 1000L);
                facts.startup.setEndTimeStamp((s + 1) * 1000L);
                writer.outputIntervalHistogram(facts.startup);
            });
        }
    }
}
