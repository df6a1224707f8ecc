package cypressvalve.load.replay;

import cypressvalve.load.sessions.Played;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/**
 * Whether what arrived at media hosts is what the source had: counts by title, plan and second, and times. Reads what
 * the stand-ins' sockets carried, not what the driver believes it sent. Free of I/O.
 */
public final class Match {
    private static final long SECOND = 1_000_000_000L;

    private final Schedule schedule;
    private final Names names;
    private final double speed;
    private final Map<String, List<Long>> due = new HashMap<>();
    private final Map<String, List<Long>> came = new HashMap<>();
    private long cameFirst = -1;

    /** @param schedule of one driver for all, as the sum of the shares arrives */
    public Match(Schedule schedule, Names names, double speed) {
        this.schedule = schedule;
        this.names = names;
        this.speed = speed;
    }

    /** A playback of the trace. */
    public void source(Played p) {
        for (Schedule.Due d : schedule.of(p)) {
            due.computeIfAbsent(names.title(p) + " " + names.plan(p), k -> new ArrayList<>()).add(d.at());
        }
    }

    /** The replay began, by the tape's clock. */
    public void began(long at) {
        cameFirst = cameFirst < 0 ? at : Math.min(cameFirst, at);
    }

    /** A first set-up of a playback arrived at a media host, by the tape's clock. */
    public void arrived(String title, String plan, long at) {
        came.computeIfAbsent(title + " " + plan, k -> new ArrayList<>()).add(at);
    }

    /**
     * What came of it.
     *
     * @param apart share of requests that came in another title, plan or second than in the source
     * @param near share that came within 2 percent of a second of their place, the median delay taken off
     * @param delay the median time from due to arrival, nanoseconds
     */
    public record Outcome(long due, long came, double apart, double near, long delay, long shiftP99) {
        /** Whether both are within 2 percent. */
        public boolean within() {
            return apart <= 0.02 && near >= 0.98;
        }

        /** A line or two about it. */
        public String text() {
            return String.format(Locale.ROOT, "requests due %d, arrived %d; by title, plan and second %.2f percent apart; "
                + "%.2f percent within 20 ms of their time (median delay %.1f ms, p99 of the rest %.1f ms): %s", due, came,
                apart * 100, near * 100, delay / 1e6, shiftP99 / 1e6, within() ? "matches within 2 percent"
                : "DOES NOT MATCH");
        }
    }

    /** Compares. */
    public Outcome outcome() {
        due.values().forEach(l -> l.sort(null));
        came.values().forEach(l -> l.sort(null));
        long delay = delay();
        List<Long> shifts = new ArrayList<>();
        due.forEach((cell, times) -> shifts(times, came.getOrDefault(cell, List.of()), delay, shifts));
        long[] sorted = shifts.stream().mapToLong(Long::longValue).sorted().toArray();
        long total = due.values().stream().mapToLong(List::size).sum();
        long arrived = came.values().stream().mapToLong(List::size).sum();
        TreeMap<String, Integer> cells = new TreeMap<>();
        due.forEach((cell, times) -> times.forEach(t -> cells.merge(cell + " " + second(t), 1, Integer::sum)));
        came.forEach((cell, times) -> times.forEach(t -> cells.merge(cell + " " + second(t - cameFirst - delay), -1,
            Integer::sum)));
        double apart = cells.values().stream().mapToInt(Math::abs).sum() / 2.0 + Math.abs(total - arrived) / 2.0;
        long near = Arrays.stream(sorted).filter(s -> Math.abs(s - delay) <= SECOND / 50).count();
        long[] rest = Arrays.stream(sorted).map(s -> Math.abs(s - delay)).sorted().toArray();
        return new Outcome(total, arrived, apart / Math.max(1, total), near / (double) Math.max(1, total), delay,
            rest.length == 0 ? 0 : rest[(int) (rest.length * 0.99)]);
    }

    /** The median time from a request's due time to the next arrival of its kind. */
    private long delay() {
        List<Long> found = new ArrayList<>();
        due.forEach((cell, times) -> {
            List<Long> arrived = came.getOrDefault(cell, List.of());
            int i = 0;
            for (long t : times) {
                while (i < arrived.size() && arrived.get(i) - cameFirst < t) {
                    i++;
                }
                if (i < arrived.size()) {
                    found.add(arrived.get(i) - cameFirst - t);
                }
            }
        });
        found.sort(null);
        return found.isEmpty() ? 0 : found.get(found.size() / 2);
    }

    /** Pairs in order; one that has no partner within a second is left out, so that a missing one shifts no other. */
    private void shifts(List<Long> times, List<Long> arrived, long delay, List<Long> to) {
        int i = 0;
        int j = 0;
        while (i < times.size() && j < arrived.size()) {
            long shift = arrived.get(j) - cameFirst - times.get(i);
            if (Math.abs(shift - delay) <= SECOND) {
                to.add(shift);
                i++;
                j++;
            } else if (shift > delay) {
                i++;
            } else {
                j++;
            }
        }
    }

    private long second(long at) {
        return (long) Math.floor(at * speed / SECOND);
    }
}
