package cypressvalve.planner;

import java.util.TreeMap;
import java.util.function.IntFunction;

/**
 * The least number of hosts that meets a goal, when each try is noisy and more hosts never serve worse: a search by
 * halves, in which a count passes or fails only when its interval says so, and else is told as open. Free of I/O.
 */
public final class LeastHosts {
    /** A count's service: the mean over runs and half its 95 percent interval. */
    public record Service(double mean, double half) { }

    /** Whether a count of hosts meets the goal. */
    public enum Verdict { MEETS, MISSES, OPEN }

    /**
     * The answer: from the first count not known to miss to the first known to meet.
     *
     * @param least the first that may meet the goal
     * @param sure the first that does so for sure, 0 where none up to the most does
     * @param tried verdicts by count
     */
    public record Answer(int least, int sure, TreeMap<Integer, Verdict> tried) { }

    private LeastHosts() {
    }

    /**
     * Searches.
     *
     * @param least hosts to begin with, known to be too few or the fewest allowed
     * @param most hosts to end with
     * @param runs the service at a count of hosts
     * @param goal the service wanted, at least
     */
    public static Answer search(int least, int most, IntFunction<Service> runs, double goal) {
        TreeMap<Integer, Verdict> tried = new TreeMap<>();
        int sure = first(least, most, tried, runs, goal, true);
        int maybe = first(least, sure == 0 ? most : sure, tried, runs, goal, false);
        return new Answer(maybe == 0 ? most : maybe, sure, tried);
    }

    /** The first count that meets the goal, for sure or perhaps; 0 if none does. */
    private static int first(int least, int most, TreeMap<Integer, Verdict> tried, IntFunction<Service> runs,
        double goal, boolean sure) {
        int low = least;
        int high = most;
        if (!passes(verdict(high, tried, runs, goal), sure)) {
            return 0;
        }
        while (low < high) {
            int middle = (low + high) >>> 1;
            if (passes(verdict(middle, tried, runs, goal), sure)) {
                high = middle;
            } else {
                low = middle + 1;
            }
        }
        return high;
    }

    private static boolean passes(Verdict verdict, boolean sure) {
        return verdict == Verdict.MEETS || !sure && verdict == Verdict.OPEN;
    }

    private static Verdict verdict(int hosts, TreeMap<Integer, Verdict> tried, IntFunction<Service> runs, double goal) {
        return tried.computeIfAbsent(hosts, n -> {
            Service s = runs.apply(n);
            return s.mean - s.half >= goal ? Verdict.MEETS : s.mean + s.half < goal ? Verdict.MISSES : Verdict.OPEN;
        });
    }
}
