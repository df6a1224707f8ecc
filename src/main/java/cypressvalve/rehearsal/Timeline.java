package cypressvalve.rehearsal;

import cypressvalve.tape.TapeRecord;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * How a day went from second to second, counted from its tape as it is written: what became of the viewers who first
 * asked in each second, and what those who play were given in it.
 */
public final class Timeline {
    private static final long SECOND = 1_000_000_000L;

    /** What one second came to; counts. */
    private static final class Cell {
        private long first;
        private long met;
        private double played;
        private double stalled;
        private double rungs;
        private long segments;
        private long breaks;
        private long setups;
        private long further;
        private long rejected;
    }

    /**
     * So many seconds of a day.
     *
     * @param from seconds since the day began
     * @param first viewers who first asked in it
     * @param startupMet share of these who played within their startup target, 1 if nobody asked
     * @param delivered time played over time played and stalled, 1 if nobody played
     * @param rung mean rung of the segments played, 0 if none was
     * @param breaks playbacks that broke while they played
     */
    public record Window(double from, long first, double startupMet, double delivered, double rung, long breaks,
        long setups, long further, long rejected) {
        /** Startup met and delivered share in one: what a viewer who comes then may expect of the service. */
        public double service() {
            return startupMet * delivered;
        }
    }

    private final TreeMap<Long, Cell> cells = new TreeMap<>();
    private final Map<String, Long> firstAsk = new HashMap<>();
    private final Map<String, String> viewerOf = new HashMap<>();
    private final Map<String, Long> startup = new HashMap<>();
    private final Map<String, String> planOf = new HashMap<>();
    private double segment = 1;
    private long began = Long.MIN_VALUE;

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
            case "rehearsal/begins" -> began = r.t();
            case "player/ask" -> {
                viewerOf.put(r.text("ask"), r.text("viewer"));
                if (firstAsk.putIfAbsent(r.text("viewer"), r.t()) == null) {
                    planOf.put(r.text("viewer"), r.text("plan"));
                    cell(r.t()).first++;
                }
            }
            case "player/answer" -> answered(r);
            case "player/segment" -> {
                Cell cell = cell(r.t());
                cell.segments++;
                cell.played += segment;
                cell.stalled += r.whole("late");
                cell.rungs += r.text("rung").isEmpty() ? 0 : Double.parseDouble(r.text("rung"));
            }
            case "player/broken" -> cell(r.t()).breaks++;
            case "host/setup" -> {
                Cell cell = cell(r.t());
                cell.setups++;
                cell.further += r.text("try").equals("0") ? 0 : 1;
            }
            default -> { }
        }
    }

    private void answered(TapeRecord r) {
        String viewer = viewerOf.remove(r.text("ask"));
        Long asked = viewer == null ? null : firstAsk.get(viewer);
        if (asked == null) {
            return;
        }
        if (r.whole("status") == 503) {
            cell(r.t()).rejected++;
        } else if (r.whole("status") == 200 && planOf.containsKey(viewer)) {
            // Counted once, with the second of the first ask.
            boolean inTime = r.t() - asked <= startup.getOrDefault(planOf.remove(viewer), Long.MAX_VALUE);
            cell(asked).met += inTime ? 1 : 0;
        }
    }

    private Cell cell(long at) {
        return cells.computeIfAbsent(Math.floorDiv(at - Math.max(0, began), SECOND), k -> new Cell());
    }

    /**
     * The day in windows of so many whole seconds; what came before its beginning is left out.
     *
     * @param seconds of a window
     * @param until seconds of the day, the last window may be cut there
     */
    public List<Window> windows(int seconds, double until) {
        List<Window> all = new ArrayList<>();
        for (long from = 0; from < until; from += seconds) {
            Cell sum = new Cell();
            for (Cell c : cells.subMap(from, (long) Math.min(Math.ceil(until), from + seconds)).values()) {
                sum.first += c.first;
                sum.met += c.met;
                sum.played += c.played;
                sum.stalled += c.stalled;
                sum.rungs += c.rungs;
                sum.segments += c.segments;
                sum.breaks += c.breaks;
                sum.setups += c.setups;
                sum.further += c.further;
                sum.rejected += c.rejected;
            }
            all.add(new Window(from, sum.first, sum.first == 0 ? 1 : sum.met / (double) sum.first,
                sum.segments == 0 ? 1 : sum.played / (sum.played + sum.stalled),
                sum.segments == 0 ? 0 : sum.rungs / sum.segments, sum.breaks, sum.setups, sum.further, sum.rejected));
        }
        return all;
    }
}
