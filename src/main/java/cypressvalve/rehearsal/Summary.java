package cypressvalve.rehearsal;

import cypressvalve.tape.TapeRecord;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;

/** What a day came to, counted from the tape as it is written. A viewer's tries count with its first one. */
public final class Summary {
    private final Map<String, Long> startup = new HashMap<>();
    private final Map<String, Long> outcomes = new TreeMap<>();
    private final Map<String, String> planOf = new HashMap<>();
    private final Map<String, Long> firstAsk = new HashMap<>();
    private final Set<String> inTime = new HashSet<>();
    private final Set<String> served = new HashSet<>();
    private final Histogram starts = new Histogram(60_000_000_000L, 3);
    private final Map<String, String> viewerOf = new HashMap<>();
    private final Map<String, Long> askedAt = new HashMap<>();
    private long segments;
    private double played;
    private double stalled;
    private double segment = 1;
    private double rungs;
    private long breaks;
    private long setups;
    private long furtherTries;
    private long asks;

    /** Takes the next record. */
    public void accept(TapeRecord r) {
        switch (r.by() + "/" + r.kind()) {
            case "rehearsal/terms" -> {
                segment = Math.max(1, r.number("segment"));
                if (r.fields().get("plans") instanceof Map<?, ?> rows) {
                    rows.forEach((name, row) ->
                        startup.put((String) name, ((Number) ((Map<?, ?>) row).get("startup")).longValue()));
                }
            }
            case "player/ask" -> {
                asks++;
                planOf.put(r.text("viewer"), r.text("plan"));
                firstAsk.putIfAbsent(r.text("viewer"), r.t());
                askedAt.put(r.text("ask"), r.t());
                viewerOf.put(r.text("ask"), r.text("viewer"));
            }
            case "player/answer" -> {
                outcomes.merge(outcome((int) r.whole("status")), 1L, Long::sum);
                if (r.whole("status") == 200) {
                    answered(r);
                }
            }
            case "player/no-answer" -> outcomes.merge("no answer", 1L, Long::sum);
            case "player/unreached" -> outcomes.merge("unreached", 1L, Long::sum);
            case "player/segment" -> {
                segments++;
                played += segment;
                stalled += r.whole("late");
                rungs += r.text("rung").isEmpty() ? 0 : Double.parseDouble(r.text("rung"));
            }
            case "player/broken" -> breaks++;
            case "host/setup" -> {
                setups++;
                furtherTries += r.text("try").equals("0") ? 0 : 1;
            }
            default -> { }
        }
    }

    private void answered(TapeRecord r) {
        String viewer = viewerOf.get(r.text("ask"));
        long took = r.t() - askedAt.getOrDefault(r.text("ask"), r.t());
        starts.recordValue(Math.max(0, Math.min(took, starts.getHighestTrackableValue())));
        served.add(viewer);
        long sinceFirst = r.t() - firstAsk.getOrDefault(viewer, r.t());
        if (sinceFirst <= startup.getOrDefault(planOf.get(viewer), Long.MAX_VALUE)) {
            inTime.add(viewer);
        }
    }

    private static String outcome(int status) {
        return switch (status) {
            case 200 -> "playing";
            case 503 -> "rejected";
            case 502, 504 -> "aborted";
            default -> "status " + status;
        };
    }

    /** Viewers who asked at least once. */
    public long viewers() {
        return firstAsk.size();
    }

    /** Share of viewers who played within the startup target of their first ask. */
    public double startupMet() {
        return firstAsk.isEmpty() ? 1 : inTime.size() / (double) firstAsk.size();
    }

    /** Share of viewers who ever played. */
    public double servedShare() {
        return firstAsk.isEmpty() ? 1 : served.size() / (double) firstAsk.size();
    }

    /** Time played over time played and stalled, of those who play. */
    public double deliveredShare() {
        return segments == 0 ? 1 : played / (played + stalled);
    }

    /** Mean rung of the segments played. */
    public double meanRung() {
        return segments == 0 ? 0 : rungs / segments;
    }

    /** Times that a viewer's playback broke while it played. */
    public long breaks() {
        return breaks;
    }

    /** Answers by outcome. */
    public Map<String, Long> outcomes() {
        return outcomes;
    }

    /** The last lines of a rehearsal, but for the rules. */
    public String text() {
        return String.format(Locale.ROOT, "viewers %d, asks %d, answers %s%nstartup met %.3f, served at all %.3f, "
            + "set-up ms p50 %.0f p99 %.0f%ndelivered share %.3f of %d segments, mean rung %.2f, breaks %d, set-ups %d "
            + "(%d further tries)", viewers(), asks, outcomes, startupMet(), servedShare(),
            starts.getValueAtPercentile(50) / 1e6, starts.getValueAtPercentile(99) / 1e6, deliveredShare(), segments,
            meanRung(), breaks, setups, furtherTries);
    }
}
