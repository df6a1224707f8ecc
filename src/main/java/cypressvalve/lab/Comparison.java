package cypressvalve.lab;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.apache.commons.math3.distribution.TDistribution;
import org.apache.commons.math3.stat.descriptive.SummaryStatistics;

/**
 * Means with their 95 percent intervals, and which differences from the first cell are real: paired by seed, by
 * Student's t, and by Holm's order over all differences asked for, so that many questions find no more by chance than
 * one would. Free of I/O.
 */
public final class Comparison {
    private static final double LEVEL = 0.05;

    /** A mean and half the width of its 95 percent interval. */
    public record Mean(double mean, double half) { }

    /** A cell's difference from the first, and whether chance alone hardly makes it. */
    public record Difference(String cell, String figure, Mean mean, double p, boolean real) { }

    private final Map<String, Map<Long, RunResult>> cells = new LinkedHashMap<>();

    /** @param results of all cells; the first cell is what others are compared with */
    public Comparison(List<RunResult> results) {
        for (RunResult r : results) {
            cells.computeIfAbsent(r.cell(), k -> new LinkedHashMap<>()).put(r.seed(), r);
        }
    }

    /** The cells in their order. */
    public List<String> cells() {
        return List.copyOf(cells.keySet());
    }

    /** Names of the figures of a cell's runs. */
    public List<String> figures(String cell) {
        return List.copyOf(cells.get(cell).values().iterator().next().figures().keySet());
    }

    /** Sum of a figure over a cell's runs. */
    public double sum(String cell, String figure) {
        return cells.get(cell).values().stream().mapToDouble(r -> r.figures().getOrDefault(figure, 0.0)).sum();
    }

    /** A cell's mean of a figure. */
    public Mean mean(String cell, String figure) {
        SummaryStatistics all = new SummaryStatistics();
        cells.get(cell).values().forEach(r -> all.addValue(r.figures().get(figure)));
        return mean(all);
    }

    private static Mean mean(SummaryStatistics all) {
        if (all.getN() < 2) {
            return new Mean(all.getMean(), Double.NaN);
        }
        double t = new TDistribution(all.getN() - 1).inverseCumulativeProbability(1 - LEVEL / 2);
        return new Mean(all.getMean(), t * all.getStandardDeviation() / Math.sqrt(all.getN()));
    }

    /** All differences from the first cell, in the order of cells and figures. */
    public List<Difference> differences(List<String> figures) {
        List<Difference> found = new ArrayList<>();
        String first = cells.keySet().iterator().next();
        for (String cell : cells.keySet()) {
            if (cell.equals(first)) {
                continue;
            }
            for (String figure : figures) {
                SummaryStatistics all = new SummaryStatistics();
                cells.get(cell).forEach((seed, r) -> {
                    RunResult base = cells.get(first).get(seed);
                    if (base != null) {
                        all.addValue(r.figures().get(figure) - base.figures().get(figure));
                    }
                });
                found.add(new Difference(cell, figure, mean(all), p(all), false));
            }
        }
        // Holm: the smallest p must pass the level over all, the next over one fewer, until one does not pass.
        List<Difference> byP = new ArrayList<>(found);
        byP.sort(Comparator.comparingDouble(Difference::p));
        for (int i = 0; i < byP.size() && byP.get(i).p < LEVEL / (byP.size() - i); i++) {
            Difference d = byP.get(i);
            found.set(found.indexOf(d), new Difference(d.cell, d.figure, d.mean, d.p, true));
        }
        return found;
    }

    private static double p(SummaryStatistics all) {
        if (all.getN() < 2) {
            return 1;
        }
        double error = all.getStandardDeviation() / Math.sqrt(all.getN());
        if (error == 0) {
            return all.getMean() == 0 ? 1 : 0;
        }
        return 2 * (1 - new TDistribution(all.getN() - 1).cumulativeProbability(Math.abs(all.getMean() / error)));
    }
}
