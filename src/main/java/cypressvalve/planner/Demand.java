package cypressvalve.planner;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * What viewers want at the worst moment: playbacks at once, by plan and title, and requests a second. Free of I/O.
 *
 * @param playing playbacks at once by title and plan
 * @param arrivals requests to watch a second round that moment
 * @param shares of arrivals by plan
 * @param seen seconds that the source covers
 * @param longest the longest playback in seconds
 */
public record Demand(List<Wanted> playing, double arrivals, Map<String, Double> shares, double seen, double longest) {
    private static final long SECOND = 1_000_000_000L;
    /** Arrivals round the worst moment are counted over this time: long enough for a rate, short for a burst. */
    private static final long ROUND = 10 * SECOND;

    /** So many playbacks of one title in one plan at once. */
    public record Wanted(String title, String plan, double count) { }

    /** All playbacks at once. */
    public double count() {
        return playing.stream().mapToDouble(Wanted::count).sum();
    }

    /** The same, so many times over. */
    public Demand times(double by) {
        return new Demand(playing.stream().map(w -> new Wanted(w.title, w.plan, w.count * by)).toList(), arrivals * by,
            shares, seen, longest);
    }

    /** Gathers playbacks of a trace. */
    public static final class Gatherer {
        private record Spell(long from, long to, String title, String plan) { }

        private final List<Spell> spells = new ArrayList<>();

        /** A playback from its first request to its last, nanoseconds. */
        public void add(long from, long length, String title, String plan) {
            spells.add(new Spell(from, from + Math.max(SECOND, length), title, plan));
        }

        /**
         * The worst moment: when most playbacks were open at once.
         *
         * @throws Unsupported if the trace can't bear an answer
         */
        public Demand worst() throws Unsupported {
            if (spells.isEmpty()) {
                throw new Unsupported("the trace has no playback");
            }
            List<long[]> edges = new ArrayList<>(2 * spells.size());
            long begins = Long.MAX_VALUE;
            long ends = Long.MIN_VALUE;
            long longest = 0;
            double sum = 0;
            for (Spell s : spells) {
                edges.add(new long[] {s.from, 1});
                edges.add(new long[] {s.to, -1});
                begins = Math.min(begins, s.from);
                ends = Math.max(ends, s.from);
                longest = Math.max(longest, s.to - s.from);
                sum += s.to - s.from;
            }
            double mean = sum / spells.size();
            if (ends - begins < 2 * mean) {
                throw new Unsupported(String.format(java.util.Locale.ROOT, "the trace covers %.0f s and its playbacks last"
                    + " %.0f s on average: it never shows how many play at once; expected twice as much", (ends - begins)
                    / 1e9, mean / 1e9));
            }
            edges.sort(Comparator.<long[]>comparingLong(e -> e[0]).thenComparingLong(e -> e[1]));
            long open = 0;
            long most = -1;
            long worst = begins;
            for (long[] edge : edges) {
                open += edge[1];
                if (open > most) {
                    most = open;
                    worst = edge[0];
                }
            }
            Map<String, Wanted> playing = new TreeMap<>();
            Map<String, Double> shares = new HashMap<>();
            double near = 0;
            for (Spell s : spells) {
                if (s.from <= worst && s.to > worst) {
                    playing.merge(s.title + "\n" + s.plan, new Wanted(s.title, s.plan, 1),
                        (a, b) -> new Wanted(a.title, a.plan, a.count + 1));
                }
                near += Math.abs(s.from - worst) <= ROUND / 2 ? 1 : 0;
                shares.merge(s.plan, 1.0 / spells.size(), Double::sum);
            }
            return new Demand(List.copyOf(playing.values()), near / (ROUND / (double) SECOND), shares,
                (ends - begins) / (double) SECOND, longest / (double) SECOND);
        }
    }

    /** What a source can't bear an answer to; the message says what is missing. */
    public static final class Unsupported extends Exception {
        private static final long serialVersionUID = 1;

        public Unsupported(String why) {
            super(why);
        }
    }
}
