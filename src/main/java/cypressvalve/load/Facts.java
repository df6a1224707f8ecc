package cypressvalve.load;

import cypressvalve.load.sessions.Played;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;

/** What is in a trace: plans, titles by rank, arrivals a second, lengths. */
public final class Facts {
    private static final long SECOND = 1_000_000_000L;
    /** Longest length told apart: a day. */
    private static final long DAY_S = 86_400;

    private final Map<String, long[]> plans = new TreeMap<>();
    private final Map<String, Long> titles = new TreeMap<>();
    private final Map<String, Long> tenants = new TreeMap<>();
    private final TreeMap<Long, Integer> seconds = new TreeMap<>();
    private final Histogram lengths = new Histogram(DAY_S, 3);
    private long count;
    private long tries;
    private long headless;
    private long outlasting;
    private long failed;

    /** Counts a playback. */
    public void add(Played p) {
        count++;
        tries += p.tries().size();
        headless += p.headless() ? 1 : 0;
        outlasting += p.outlasts() ? 1 : 0;
        failed += p.started() ? 0 : 1;
        long[] plan = plans.computeIfAbsent(p.plan(), k -> new long[3]);
        plan[0]++;
        plan[1] += p.tries().size();
        plan[2] += p.started() ? 1 : 0;
        titles.merge(p.title(), 1L, Long::sum);
        tenants.merge(p.tenant(), 1L, Long::sum);
        p.tries().forEach(t -> seconds.merge(Math.floorDiv(p.at() + t.after(), SECOND), 1, Integer::sum));
        lengths.recordValue(Math.max(0, Math.min(DAY_S, p.length() / SECOND)));
    }

    /** Requests to watch by second since 1970. */
    public TreeMap<Long, Integer> seconds() {
        return seconds;
    }

    /** Playbacks of each title, the most wanted first. */
    public List<Map.Entry<String, Long>> ranks() {
        List<Map.Entry<String, Long>> all = new ArrayList<>(titles.entrySet());
        all.sort(Map.Entry.<String, Long>comparingByValue(Comparator.reverseOrder())
            .thenComparing(Map.Entry.comparingByKey()));
        return all;
    }

    /** Lengths in seconds. */
    public Histogram lengths() {
        return lengths;
    }

    /** Playbacks counted. */
    public long count() {
        return count;
    }

    /** A table of it all, for people. */
    public String table(int titlesShown) {
        StringBuilder out = new StringBuilder();
        out.append(String.format(Locale.ROOT, "playbacks %d, requests to watch %d, never started %d, begun before the "
            + "source %d, open at its end %d%n", count, tries, failed, headless, outlasting));
        out.append(String.format(Locale.ROOT, "length s: p50 %d, p90 %d, p99 %d, longest %d%n",
            lengths.getValueAtPercentile(50), lengths.getValueAtPercentile(90), lengths.getValueAtPercentile(99),
            lengths.getMaxValue()));
        if (!seconds.isEmpty()) {
            long span = seconds.lastKey() - seconds.firstKey() + 1;
            long most = seconds.values().stream().mapToInt(Integer::intValue).max().orElse(0);
            long asked = seconds.values().stream().mapToLong(Integer::longValue).sum();
            out.append(String.format(Locale.ROOT, "requests a second: mean %.2f, most %d, over %d s%n",
                asked / (double) span, most, span));
        }
        out.append(String.format("%-24s %10s %10s %10s%n", "plan", "playbacks", "requests", "started"));
        plans.forEach((plan, n) -> out.append(String.format("%-24s %10d %10d %10d%n", plan, n[0], n[1], n[2])));
        if (tenants.size() > 1 || !tenants.containsKey("")) {
            out.append(String.format("%-24s %10s%n", "tenant", "playbacks"));
            tenants.forEach((tenant, n) -> out.append(String.format("%-24s %10d%n", tenant.isEmpty() ? "-" : tenant,
                n)));
        }
        out.append(String.format("%5s %-24s %10s%n", "rank", "title", "playbacks"));
        List<Map.Entry<String, Long>> ranks = ranks();
        for (int i = 0; i < Math.min(titlesShown, ranks.size()); i++) {
            out.append(String.format("%5d %-24s %10d%n", i + 1, ranks.get(i).getKey(), ranks.get(i).getValue()));
        }
        if (ranks.size() > titlesShown) {
            out.append(String.format("      and %d more titles%n", ranks.size() - titlesShown));
        }
        return out.toString();
    }
}
