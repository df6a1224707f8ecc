package cypressvalve.load.replay;

import cypressvalve.load.sessions.Played;
import java.util.ArrayList;
import java.util.List;

/** Which requests of a trace leave when, for one driver. Free of I/O: the same trace and plan give the same times. */
public final class Schedule {
    /** A request to watch: when it is due, nanoseconds after the replay's beginning, and its number for this viewer. */
    public record Due(long at, int number) { }

    private final Plan plan;
    private final long begins;

    /** @param begins the trace's beginning, nanoseconds since 1970 */
    public Schedule(Plan plan, long begins) {
        this.plan = plan;
        this.begins = begins;
    }

    /** The playback's requests that this driver sends, in order; none if it is another's, or outside the span. */
    public List<Due> of(Played p) {
        List<Due> due = new ArrayList<>(p.tries().size());
        long at = p.at() - begins;
        if (!mine(p) || at < plan.from() || at - plan.from() >= plan.length()) {
            return due;
        }
        if (p.tries().isEmpty()) {
            if (plan.headless()) {
                due.add(new Due(scaled(at), 0));
            }
            return due;
        }
        for (Played.Try t : p.tries()) {
            if (due.isEmpty() || plan.retries() == Plan.Retries.SOURCE) {
                due.add(new Due(scaled(at + t.after()), due.size()));
            }
        }
        return due;
    }

    /** Whether no later playback can be due: they come in the order of their beginnings. */
    public boolean past(Played p) {
        return p.at() - begins - plan.from() >= plan.length();
    }

    private boolean mine(Played p) {
        // By viewer and not by request: whoever drives the first try knows what became of it.
        return plan.of() <= 1
            || Math.floorMod((p.keys().isEmpty() ? p.at() : p.keys().get(0)) * 0x9e3779b97f4a7c15L >>> 20, plan.of())
            == plan.share();
    }

    private long scaled(long at) {
        return (long) ((at - plan.from()) / plan.speed());
    }

    /** How long the viewer watches in this replay. */
    public long length(Played p) {
        return (long) (p.length() / plan.speed());
    }
}
