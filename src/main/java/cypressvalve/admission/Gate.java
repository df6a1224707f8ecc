package cypressvalve.admission;

import java.util.List;
import java.util.function.Predicate;

/**
 * Which requests to watch reach the decisions when more come than one loop can decide. While the loop keeps up, all
 * do: whom to serve is Control's to say. It guards against floods, one tenant's above all, and against those refused
 * coming back together. Free of I/O and of clocks; times are nanoseconds. One gateway's gate knows nothing of others.
 */
public final class Gate {
    private static final long SECOND = 1_000_000_000L;
    /**
     * A pause of the collector or the machine is not a flood: two looks must be late in this time. Not in a row, as a
     * loop that takes seconds for what came at once has quick rounds in between.
     */
    private static final long LATE_SPAN = 2 * SECOND;
    /** The pace is not raised sooner after a late look: a quick round alone says little. */
    private static final long CALM = SECOND / 2;
    /** After the pace was cut its effect is waited for: requests that were let in before take about so long. */
    private static final long EFFECT = SECOND / 2;
    /** Cut to this part of what was let in, at most: a loop that is late has to catch up as well. */
    private static final double CUT = 0.7;
    /** What waits already is worked off in this time in place of what comes: the later the loop, the deeper the cut. */
    private static final double CATCH_UP = SECOND;
    /** Never cut deeper than this at once: lateness is measured a moment ago, and some of it is the collector's. */
    private static final double DEEPEST = 0.1;
    /** Raised by so much a look while the loop keeps up: doubled in about two seconds. */
    private static final double RAISE = 1.02;
    /** Never under so many a second: one loop decides ten times as many on any machine that runs it at all. */
    private static final double LEAST_PACE = 20;
    /** No pace is needed once it is several times what comes. */
    private static final double FREE_AT = 4;
    /** What may be let in at once after a quiet moment, as time at the pace in force. */
    private static final double BURST = 0.1;
    /** From this part of the open requests on, a tenant may have its share of them and not more. */
    private static final double SHARED_FROM = 0.5;
    /** Viewers refused are named times from here to there, one after another at the pace. */
    private static final long SOONEST = SECOND;
    private static final long LATEST = 30 * SECOND;

    /** Why a request does not reach the decisions. */
    public enum Refusal { OPEN, SHARE, PACE }

    /**
     * Named limits.
     *
     * @param open requests that wait for their answer, at most
     * @param late how long a due task may wait for the loop before requests are paced
     */
    public record Limits(int open, long late) {
        /** What settings have where they say nothing. */
        public static final Limits DEFAULT = new Limits(2000, 100_000_000L);
    }

    /** A tenant and what it has in hand. */
    private static final class Tenant {
        private final double share;
        private int open;
        private double tokens;

        private Tenant(double share) {
            this.share = share;
        }
    }

    private record Rule(Refusal refusal, Predicate<Tenant> refuses) { }

    private final Limits limits;
    private final List<Tenant> tenants;
    private final Tenant nobody = new Tenant(1);
    private int open;
    private double pace = Double.POSITIVE_INFINITY;
    private double common;
    private long filledAt;
    private long lookedAt;
    private long lastLate;
    private long cutAt = Long.MIN_VALUE / 2;
    private long lateAt = Long.MIN_VALUE / 2;
    private double passed;
    private double came;
    private long promised;

    private final List<Rule> rules;

    /** @param shares of the tenants by number, whatever their sum */
    public Gate(Limits limits, double[] shares, long now) {
        this.limits = limits;
        double sum = 0;
        for (double share : shares) {
            sum += share;
        }
        double all = sum > 0 ? sum : 1;
        tenants = java.util.Arrays.stream(shares).mapToObj(s -> new Tenant(s / all)).toList();
        filledAt = lookedAt = now;
        rules = List.of(
            new Rule(Refusal.OPEN, t -> open >= limits.open),
            new Rule(Refusal.SHARE, t -> t != nobody && open >= limits.open * SHARED_FROM
                && t.open >= t.share * limits.open),
            new Rule(Refusal.PACE, t -> !mayPass(t)));
    }

    private Tenant tenant(int number) {
        return number >= 0 && number < tenants.size() ? tenants.get(number) : nobody;
    }

    /**
     * A request to watch.
     *
     * @param number of its tenant, below 0 for none
     * @return why it is refused, or null if it goes on to the decisions; then {@link #closed} follows once
     */
    public Refusal ask(int number, long now) {
        came++;
        fill(now);
        Tenant tenant = tenant(number);
        for (Rule rule : rules) {
            if (rule.refuses.test(tenant)) {
                return rule.refusal;
            }
        }
        passed++;
        take(tenant);
        open++;
        tenant.open++;
        return null;
    }

    /** A request that went on has its answer, or its viewer left. */
    public void closed(int number) {
        open--;
        tenant(number).open--;
    }

    /** What a look at the loop found: how long a due task had waited. Looks come some tens of times a second. */
    public void looked(long now, long late) {
        double over = Math.max(1, now - lookedAt) / (double) SECOND;
        lookedAt = now;
        lastLate = late;
        // The last second or so of what came and what was let in.
        double keep = Math.exp(-over);
        boolean again = late > limits.late && now - late - lateAt <= LATE_SPAN;
        lateAt = late > limits.late ? now : lateAt;
        if (again && now - cutAt > EFFECT) {
            pace = Math.max(LEAST_PACE, Math.min(pace, passed) * Math.max(DEEPEST, Math.min(CUT, 1 - late / CATCH_UP)));
            common = Math.min(common, pace * BURST);
            tenants.forEach(t -> t.tokens = 0);
            cutAt = now;
        } else if (now - lateAt > CALM && paced()) {
            pace *= RAISE;
            pace = pace > FREE_AT * Math.max(LEAST_PACE, came) ? Double.POSITIVE_INFINITY : pace;
        }
        passed *= keep;
        came *= keep;
    }

    /**
     * How long a request read now may have waited unread: as long as the loop was late, or has not been looked at since.
     * The viewer's patience has run all that time. While the loop keeps up it is nothing.
     */
    public long unread(long now) {
        long waited = limits.late >= Long.MAX_VALUE / 2 ? 0 : Math.max(lastLate, now - lookedAt);
        return waited > limits.late ? waited : 0;
    }

    /** Whether requests are paced at all. */
    public boolean paced() {
        return Double.isFinite(pace);
    }

    /** Requests a second that may go on; infinite while the loop keeps up. */
    public double pace() {
        return pace;
    }

    /** Requests that wait for their answer. */
    public int open() {
        return open;
    }

    /** Each tenant's part of the pace goes to it first, what it leaves to all. */
    private void fill(long now) {
        if (!paced()) {
            filledAt = now;
            return;
        }
        double more = pace * (now - filledAt) / SECOND;
        filledAt = now;
        double left = tenants.isEmpty() ? more : 0;
        for (Tenant t : tenants) {
            double most = Math.max(1, pace * t.share * BURST);
            t.tokens += more * t.share;
            left += Math.max(0, t.tokens - most);
            t.tokens = Math.min(most, t.tokens);
        }
        common = Math.min(Math.max(1, pace * BURST), common + left);
    }

    private boolean mayPass(Tenant t) {
        return !paced() || t.tokens >= 1 || common >= 1;
    }

    private void take(Tenant t) {
        if (paced()) {
            if (t.tokens >= 1) {
                t.tokens--;
            } else {
                common--;
            }
        }
    }

    /**
     * When a viewer refused now should come back: each a little later than the one before, at the pace, so that they
     * do not come together; round again from the soonest when the latest is reached.
     */
    public long comeBackIn(long now) {
        double rate = paced() ? pace : limits.open;
        promised = Math.max(promised, now + SOONEST) + (long) (SECOND / rate);
        if (promised > now + LATEST) {
            promised = now + SOONEST;
        }
        return promised - now;
    }
}
