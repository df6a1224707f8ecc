package cypressvalve.load.report;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.function.Function;
import java.util.function.ToDoubleFunction;
import org.HdrHistogram.Histogram;
import org.HdrHistogram.HistogramIterationValue;

/** A report of one run, or of two side by side: what was offered and served, startup, rungs, delivery, troubles. */
public final class RunPage {
    private RunPage() {
    }

    /**
     * Writes the report.
     *
     * @param runs one or two
     * @param remarks lines of the driver and the judge, as they are
     */
    public static void write(Path to, List<RunFacts> runs, List<String> remarks) throws IOException {
        Page page = new Page("Run " + String.join(" beside ", runs.stream().map(RunFacts::name).toList()));
        page.table(table(runs));
        if (!remarks.isEmpty()) {
            page.pre(String.join("\n", remarks));
        }
        for (RunFacts run : runs) {
            if (runs.size() > 1) {
                page.heading(run.name());
            }
            page.raw(Plots.img("Requests to watch by answer", "seconds", "a second", List.of(
                run.line("offered", s -> s.offered), run.line("served", s -> s.served),
                run.line("rejected", s -> s.rejected), run.line("aborted", s -> s.aborted + s.unreached)),
                run.troubles(), false));
        }
        compared(page, runs, "Startup, 99th percentile", "ms",
            s -> s.startup.getTotalCount() == 0 ? 0 : s.startup.getValueAtPercentile(99) / 1e6);
        List<Plots.Line> startup = new ArrayList<>();
        for (RunFacts run : runs) {
            startup.add(percentiles(run.name(), run.startup()));
        }
        page.raw(Plots.img("Startup", "percent of playbacks", "ms", startup, List.of(), false));
        compared(page, runs, "Mean rung of the segments", "rung", s -> s.segments == 0 ? 0 : s.rungs / s.segments);
        List<Plots.Line> delivered = new ArrayList<>();
        for (RunFacts run : runs) {
            delivered.add(run.line(run.name(), run::deliveredIn));
        }
        page.raw(Plots.img("Delivered share", "seconds", "of played time", delivered, runs.get(0).troubles(), false));
        page.write(to);
    }

    private static void compared(Page page, List<RunFacts> runs, String title, String unit,
        ToDoubleFunction<RunFacts.Second> value) throws IOException {
        page.raw(Plots.img(title, "seconds", unit, runs.stream().map(r -> r.line(r.name(), value)).toList(),
            runs.get(0).troubles(), false));
    }

    private static Plots.Line percentiles(String name, Histogram of) {
        List<double[]> points = new ArrayList<>();
        for (HistogramIterationValue v : of.percentiles(5)) {
            points.add(new double[] {v.getPercentile(), v.getValueIteratedTo() / 1e6});
        }
        return new Plots.Line(name, points.stream().mapToDouble(p -> p[0]).toArray(),
            points.stream().mapToDouble(p -> p[1]).toArray());
    }

    private static List<String[]> table(List<RunFacts> runs) {
        List<String[]> rows = new ArrayList<>();
        rows.add(row("", runs, RunFacts::name));
        rows.add(row("offered", runs, r -> "" + r.sum(s -> s.offered)));
        rows.add(row("served", runs, r -> "" + r.sum(s -> s.served)));
        rows.add(row("rejected", runs, r -> "" + r.sum(s -> s.rejected)));
        rows.add(row("aborted or no answer", runs, r -> "" + r.sum(s -> s.aborted)));
        rows.add(row("gateway not reached", runs, r -> "" + r.sum(s -> s.unreached)));
        rows.add(row("startup p50 ms", runs, r -> ms(r.startup(), 50)));
        rows.add(row("startup p99 ms", runs, r -> ms(r.startup(), 99)));
        rows.add(row("breaks while playing", runs, r -> "" + r.sum(s -> s.breaks)));
        rows.add(row("mean rung", runs, r -> String.format(Locale.ROOT, "%.2f", r.meanRung())));
        rows.add(row("delivered share", runs, r -> String.format(Locale.ROOT, "%.3f", r.delivered())));
        return rows;
    }

    private static String ms(Histogram of, double percentile) {
        return of.getTotalCount() == 0 ? "-" : String.format(Locale.ROOT, "%.1f", of.getValueAtPercentile(percentile)
            / 1e6);
    }

    private static String[] row(String name, List<RunFacts> runs, Function<RunFacts, String> value) {
        String[] cells = new String[runs.size() + 1];
        cells[0] = name;
        for (int i = 0; i < runs.size(); i++) {
            cells[i + 1] = value.apply(runs.get(i));
        }
        return cells;
    }
}
