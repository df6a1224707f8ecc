package cypressvalve.planner;

import java.util.List;

/**
 * What the planner says of a day: figures with ranges, what is short, and what was assumed. Free of I/O; service is the
 * share of viewers who start in time times the share of their time that is delivered.
 *
 * @param service mean and half its 95 percent interval
 * @param estimate by means and blocking formulas
 * @param shortage by runs with more of each thing; null where none were made
 */
public record Forecast(Range service, Range startup, Range delivered, Range rung, Fluid.Estimate estimate,
    Shortage shortage, List<String> assumptions) {

    /** A mean and half its 95 percent interval. */
    public record Range(double mean, double half) {
        /** Whether a value lies in the range, or within a part of it. */
        public boolean near(double value, double part) {
            return Math.abs(value - mean) <= Math.max(half, part * mean);
        }
    }

    /** A stand-in run may differ from the forecast's service by this part. */
    public static final double SERVICE_WITHIN = 0.10;

    /** What beside the runs hangs on the fleet's description. */
    public static List<String> assumptions(boolean trace, boolean crowdByTrace) {
        return List.of(trace ? crowdByTrace ? "viewers are the trace's, at its times; further tries are the day's model's"
            : "what is wanted is the trace's worst moment; viewers of runs are drawn by the day's rates"
            : "viewers are drawn by the day's rates, lengths and shares: no trace was given",
            "hosts are of one kind, and stand in racks by turns",
            "gateways decide at once: their processor time is not modelled, only their number",
            "zones lie close: no time passes between them",
            "all figures are simulated or estimated, none is of real hosts");
    }

    /** Whether what a stand-in run came to is what was forecast. */
    public boolean agrees(double ran, Shortage there) {
        return service.near(ran, SERVICE_WITHIN) && (shortage == null || there == null || shortage.agrees(there));
    }
}
