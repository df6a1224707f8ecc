package cypressvalve.planner;

import java.util.List;

/**
 * Service before, during and after a loss, and when it was whole again. Free of I/O; times are seconds of the day.
 *
 * @param before mean service of the windows before the loss
 * @param during the worst window from the loss to the last return
 * @param after mean service of the windows from when it was whole, or of the last ones if it never was
 * @param wholeAt when service was back and stayed so, not a number if never in the day
 */
public record Recovery(double before, double during, double after, double wholeAt) {
    /** A window's service. */
    public record Point(double from, double service, long viewers) { }

    /** Windows in a row that must be back: one good window among bad ones is chance. */
    private static final int IN_A_ROW = 3;
    /** The least that counts as a difference: under it a window of some tens of viewers tells nothing. */
    private static final double LEAST_MARGIN = 0.02;
    /** Standard errors of a window's share that it may lie under what was before. */
    private static final double ERRORS = 2;

    /** Reads a day. Windows in which nobody asked say nothing of startup and are passed over. */
    public static Recovery of(List<Point> day, double lostAt, double backAt) {
        double before = mean(day.stream().filter(p -> p.from < lostAt && p.viewers > 0).toList(), 1);
        double during = day.stream().filter(p -> p.from >= Math.floor(lostAt) && p.from <= backAt && p.viewers > 0)
            .mapToDouble(Point::service).min().orElse(before);
        List<Point> since = day.stream().filter(p -> p.from >= lostAt && p.viewers > 0).toList();
        double whole = Double.NaN;
        for (int i = since.size() - 1; i >= 0 && back(since.get(i), before); i--) {
            whole = since.size() - i >= IN_A_ROW ? since.get(i).from : whole;
        }
        double from = whole;
        List<Point> rest = Double.isNaN(whole) ? since.subList(Math.max(0, since.size() - IN_A_ROW), since.size())
            : since.stream().filter(p -> p.from >= from).toList();
        return new Recovery(before, during, mean(rest, before), whole);
    }

    /** Whether a window's service is what it was before, but for chance. */
    private static boolean back(Point p, double before) {
        double error = Math.sqrt(Math.max(before * (1 - before), 0.01) / p.viewers);
        return p.service >= before - Math.max(LEAST_MARGIN, ERRORS * error);
    }

    private static double mean(List<Point> points, double otherwise) {
        long viewers = points.stream().mapToLong(Point::viewers).sum();
        return viewers == 0 ? otherwise
            : points.stream().mapToDouble(p -> p.service * p.viewers).sum() / viewers;
    }
}
