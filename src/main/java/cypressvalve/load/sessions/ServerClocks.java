package cypressvalve.load.sessions;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * How far servers' clocks are apart, found from viewers that fetched one segment from one and the next from another:
 * a player asks for segments at their length's pace, whoever serves them. The median of many such steps says by how
 * much the second clock is ahead. Free of I/O.
 */
public final class ServerClocks {
    /** Steps between two servers below which nothing is said: their median would be a guess. */
    private static final int LEAST = 9;
    /** Steps kept for each pair, viewers remembered: a sample of a log's beginning is enough for a constant. */
    private static final int KEPT = 5000;

    private record Seen(int server, long segment, long at) { }

    private final Map<String, Seen> last = new HashMap<>();
    private final List<Long> pace = new ArrayList<>();
    private final Map<Integer, Map<Integer, List<Long>>> steps = new HashMap<>();

    /** A segment's request as the server logged it. */
    public void seen(int server, String viewer, long segment, long at) {
        Seen before = last.get(viewer);
        if (before != null && segment == before.segment + 1) {
            if (before.server == server) {
                add(pace, at - before.at);
            } else {
                add(steps.computeIfAbsent(before.server, s -> new HashMap<>())
                    .computeIfAbsent(server, s -> new ArrayList<>()), at - before.at);
            }
        }
        if (before != null || last.size() < KEPT) {
            last.put(viewer, new Seen(server, segment, at));
        }
    }

    private static void add(List<Long> to, long value) {
        if (to.size() < KEPT) {
            to.add(value);
        }
    }

    private static long median(List<Long> values) {
        long[] sorted = values.stream().mapToLong(Long::longValue).toArray();
        Arrays.sort(sorted);
        return sorted[sorted.length / 2];
    }

    /**
     * What to add to each server's times, so that they agree with the first's; 0 for servers about which too little
     * is known.
     */
    public long[] offsets(int servers) {
        long[] offsets = new long[servers];
        boolean[] known = new boolean[servers];
        if (pace.size() < LEAST || servers == 0) {
            return offsets;
        }
        long usual = median(pace);
        ArrayDeque<Integer> next = new ArrayDeque<>(List.of(0));
        known[0] = true;
        while (!next.isEmpty()) {
            int from = next.poll();
            for (int to = 0; to < servers; to++) {
                Long ahead = known[to] ? null : ahead(from, to, usual);
                if (ahead != null) {
                    known[to] = true;
                    offsets[to] = offsets[from] - ahead;
                    next.add(to);
                }
            }
        }
        return offsets;
    }

    /** By how much the second server's clock is ahead of the first's; null if too few viewers used both. */
    private Long ahead(int from, int to, long usual) {
        List<Long> there = steps.getOrDefault(from, Map.of()).getOrDefault(to, List.of());
        List<Long> back = steps.getOrDefault(to, Map.of()).getOrDefault(from, List.of());
        List<Long> all = new ArrayList<>(there.size() + back.size());
        there.forEach(d -> all.add(d - usual));
        back.forEach(d -> all.add(usual - d));
        return all.size() < LEAST ? null : Long.valueOf(median(all));
    }
}
