package cypressvalve.session;

import cypressvalve.admission.Gate;
import cypressvalve.model.Departure;
import cypressvalve.model.Verdict;

/** What the core tells its metrics; times in nanoseconds. */
public interface CoreEvents {
    /** Nothing listens. */
    CoreEvents NONE = new CoreEvents() { };

    /** A request got its answer: playing, rejected, failed, or left before one. */
    default void answered(String outcome, String plan, long took) { }

    /** A setup try ended; null stands for started. */
    default void tried(Verdict verdict, long took) { }

    default void rungStep(int by) { }

    /** A playing session ended. */
    default void ended(Session.End end) { }

    /** A request did not reach the decisions. */
    default void refused(Gate.Refusal why, String tenant) { }

    /** Control departed from the design page's ordinary path. */
    default void departed(Departure what) { }

    /** How long a task of the core waited for the loop. */
    default void loopDelay(long waited) { }
}
