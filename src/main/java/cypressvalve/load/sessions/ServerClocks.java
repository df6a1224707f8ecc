package cypressvalve.load.sessions;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
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
    /** Segments remembered of each viewer: more of one viewer say little that others do not. */
    private static final int OF_ONE = 40;

    private record Seen(int server, long segment, long at) { }

    private final Map<String, List<Seen>> viewers = new LinkedHashMap<>();

    /** A segment's request as the server logged it, in any order. */
    public void seen(int server, String viewer, long segment, long at) {
        List<Seen> all = viewers.get(viewer);
        if (all == null && viewers.size() < KEPT) {
            all = new ArrayList<>();
            viewers.put(viewer, all);
        }
        if (all != null && all.size() < OF_ONE) {
            all.add(new Seen(server, segment, at));
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
        List<Long> pace = new ArrayList<>();
        Map<Integer, Map<Integer, List<Long>>> steps = new HashMap<>();
        for (List<Seen> all : viewers.values()) {
            // In the order of segments: by time they stand in the order of wrong clocks.
            all.sort(Comparator.comparingLong(Seen::segment));
            for (int i = 1; i < all.size(); i++) {
                step(all.get(i - 1), all.get(i), pace, steps);
            }
        }
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
                Long ahead = known[to] ? null : ahead(steps, from, to, usual);
                if (ahead != null) {
                    known[to] = true;
                    offsets[to] = offsets[from] - ahead;
                    next.add(to);
                }
            }
        }
        return offsets;
    }

    private static void step(Seen before, Seen after, List<Long> pace, Map<Integer, Map<Integer, List<Long>>> steps) {
        if (after.segment != before.segment + 1) {
            return;
        }
        add(before.server == after.server ? pace : steps.computeIfAbsent(before.server, s -> new HashMap<>())
            .computeIfAbsent(after.server, s -> new ArrayList<>()), after.at - before.at);
    }

    /** By how much the second server's clock is ahead of the first's; null if too few viewers used both. */
    private static Long ahead(Map<Integer, Map<Integer, List<Long>>> steps, int from, int to, long usual) {
        List<Long> there = steps.getOrDefault(from, Map.of()).getOrDefault(to, List.of());
        List<Long> back = steps.getOrDefault(to, Map.of()).getOrDefault(from, List.of());
        List<Long> all = new ArrayList<>(there.size() + back.size());
        there.forEach(d -> all.add(d - usual));
        back.forEach(d -> all.add(usual - d));
        return all.size() < LEAST ? null : Long.valueOf(median(all));
    }
}
