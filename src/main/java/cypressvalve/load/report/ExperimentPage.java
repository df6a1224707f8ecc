package cypressvalve.load.report;

import cypressvalve.lab.Comparison;
import cypressvalve.lab.RunResult;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** An experiment's cells side by side, with what differs for sure. */
public final class ExperimentPage {
    private ExperimentPage() {
    }

    /** Writes the page. */
    public static void write(Path to, String name, Comparison comparison) throws IOException {
        Page page = new Page("Experiment " + name + " (simulated)");
        page.table(means(comparison)).heading("Differences from the first cell that are real");
        List<String[]> rows = new ArrayList<>();
        rows.add(new String[] {"cell", "figure", "difference", "p"});
        for (Comparison.Difference d : comparison.differences(RunResult.COMPARED)) {
            if (d.real()) {
                rows.add(new String[] {d.cell(), d.figure(), shown(d.mean()), String.format(Locale.ROOT, "%.2g", d.p())});
            }
        }
        page.table(rows);
        for (String figure : RunResult.COMPARED) {
            List<Plots.Line> lines = new ArrayList<>();
            List<String> cells = comparison.cells();
            for (int i = 0; i < cells.size(); i++) {
                Comparison.Mean m = comparison.mean(cells.get(i), figure);
                double half = Double.isNaN(m.half()) ? 0 : m.half();
                lines.add(new Plots.Line((i + 1) + " " + cells.get(i), new double[] {i + 1, i + 1, i + 1},
                    new double[] {m.mean() - half, m.mean(), m.mean() + half}));
            }
            page.raw(Plots.img(figure + ", mean and 95 percent interval", "cell", figure, lines, List.of(), false));
        }
        departures(page, comparison);
        page.write(to);
    }

    /** How often Control's departures act, cell by cell; nothing where results are of before they were counted. */
    private static void departures(Page page, Comparison comparison) throws IOException {
        List<String> cells = comparison.cells();
        List<String> names = comparison.figures(cells.get(0)).stream().filter(f -> f.startsWith(RunResult.DEPARTURE))
            .toList();
        if (names.isEmpty()) {
            return;
        }
        List<String[]> rows = new ArrayList<>();
        List<Plots.Line> lines = new ArrayList<>();
        List<String> head = new ArrayList<>(List.of("times a viewer"));
        for (int i = 0; i < cells.size(); i++) {
            head.add((i + 1) + " " + cells.get(i));
        }
        rows.add(head.toArray(String[]::new));
        for (String name : names) {
            double[] x = new double[cells.size()];
            double[] y = new double[cells.size()];
            List<String> row = new ArrayList<>(List.of(name.substring(RunResult.DEPARTURE.length())));
            for (int i = 0; i < cells.size(); i++) {
                x[i] = i + 1;
                y[i] = comparison.mean(cells.get(i), name).mean();
                row.add(String.format(Locale.ROOT, "%.3f", y[i]));
            }
            rows.add(row.toArray(String[]::new));
            lines.add(new Plots.Line(row.get(0), x, y));
        }
        page.heading("How often Control departs from the ordinary path").table(rows)
            .raw(Plots.img("Departures a viewer", "cell", "times", lines, List.of(), false));
    }

    /** Means of all cells, a row a cell. */
    public static List<String[]> means(Comparison comparison) {
        List<String[]> rows = new ArrayList<>();
        List<String> head = new ArrayList<>(List.of("cell"));
        head.addAll(RunResult.COMPARED);
        head.add("rules broken");
        rows.add(head.toArray(String[]::new));
        for (String cell : comparison.cells()) {
            List<String> row = new ArrayList<>(List.of(cell));
            RunResult.COMPARED.forEach(f -> row.add(shown(comparison.mean(cell, f))));
            double broken = 0;
            for (int rule = 1; rule <= 6; rule++) {
                broken += comparison.sum(cell, "rule" + rule);
            }
            row.add(String.format(Locale.ROOT, "%.0f", broken));
            rows.add(row.toArray(String[]::new));
        }
        return rows;
    }

    private static String shown(Comparison.Mean m) {
        return Double.isNaN(m.half()) ? String.format(Locale.ROOT, "%.3f", m.mean())
            : String.format(Locale.ROOT, "%.3f ± %.3f", m.mean(), m.half());
    }
}
