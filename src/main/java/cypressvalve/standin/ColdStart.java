package cypressvalve.standin;

import java.util.ArrayDeque;

/**
 * A media host's start: its capacity grows evenly from a share to the whole, and more set-ups than its present pace
 * bears make it fall over (rule 4 as the host feels it). Times are nanoseconds by whatever clock the caller has.
 */
public final class ColdStart {
    /** Chance's part in the count, as the rule states it. */
    private static final int FALL_SLACK = 2;

    private final HostSpec.Cold cold;
    private final int places;
    private final ArrayDeque<Long> arrivals = new ArrayDeque<>();
    private boolean warming;
    private long startedAt;

    public ColdStart(HostSpec.Cold cold, int places) {
        this.cold = cold;
        this.places = places;
    }

    /** @param warm whether it counts as having run for long */
    public void begin(long now, boolean warm) {
        startedAt = now;
        warming = !warm && cold.time() > 0;
        arrivals.clear();
    }

    /** Part of its capacity that the host has now. */
    public double warmth(long now) {
        double age = warming ? (now - startedAt) / (double) cold.time() : 1;
        warming = age < 1;
        return warming ? cold.share() + (1 - cold.share()) * age : 1;
    }

    /** A set-up arrives; true if it pushes the host over. */
    public boolean pushedOver(long now) {
        if (!warming) {
            return false;
        }
        arrivals.add(now);
        while (arrivals.peekFirst() < now - cold.window()) {
            arrivals.poll();
        }
        double pace = places / (double) cold.time() * warmth(now);
        return arrivals.size() > cold.multiple() * pace * cold.window() + FALL_SLACK;
    }
}
