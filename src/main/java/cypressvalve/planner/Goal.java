package cypressvalve.planner;

/**
 * What a fleet is to reach.
 *
 * @param startup share of viewers who start within their target
 * @param delivered played time over played and stalled time
 */
public record Goal(double startup, double delivered) {
    /** How much of the goal is reached: 1 or more only if both are, as plenty of one makes up for none of the other. */
    public double reached(double startupMet, double deliveredShare) {
        return Math.min(startupMet / startup, deliveredShare / delivered);
    }
}
