package cypressvalve.trouble;

import cypressvalve.tape.Tape;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.UnaryOperator;
import java.util.stream.IntStream;

/** Plays a day's troubles on whatever can be struck. What several do to one link multiplies; what they struck is drawn by the seed. */
public final class TroublePlayer {
    private static final long AGEING_STEP_MS = 500;

    /** Runs a task so many nanoseconds from now. */
    public interface Timers {
        void after(long nanos, Runnable task);
    }

    private final DayScript day;
    private final Struck on;
    private final Timers timers;
    private final Tape tape;
    private final Random chance;
    private final Map<Integer, Map<Object, Double>> links = new HashMap<>();
    private final Map<Integer, Map<Object, Double>> racks = new HashMap<>();

    public TroublePlayer(DayScript day, Struck on, Timers timers, Tape tape) {
        this.day = day;
        this.on = on;
        this.timers = timers;
        this.tape = tape;
        chance = new Random(day.seed() * 101 + 13);
    }

    /** Sets timers for all troubles, from now as the day's start. */
    public void play() {
        for (Trouble trouble : day.troubles()) {
            List<Integer> struck = struck(trouble);
            at(trouble.at(), () -> {
                told(trouble, struck, true);
                begin(trouble, struck);
            });
            at(trouble.end(), () -> {
                end(trouble, struck);
                told(trouble, struck, false);
            });
        }
    }

    private void at(long nanos, Runnable task) {
        timers.after(nanos, () -> {
            try {
                task.run();
            } catch (RuntimeException e) {
                tape.put("rehearsal", "trouble-failed", "why", e.toString());
            }
        });
    }

    private void told(Trouble t, List<Integer> struck, boolean on) {
        tape.put("fault", on ? "begins" : "ends", "trouble", t.kind().name().toLowerCase(java.util.Locale.ROOT),
            "struck", struck, "size", t.size());
    }

    private List<Integer> struck(Trouble t) {
        if (!t.only().isEmpty()) {
            return t.only();
        }
        int of = t.of(on.hosts(), on.racks(), day.gateways().count());
        double part = t.kind() == Trouble.Kind.REPORT_LATE ? 1 : t.part();
        List<Integer> all = new ArrayList<>(IntStream.range(0, of).boxed().toList());
        Collections.shuffle(all, chance);
        List<Integer> some = all.subList(0, (int) Math.min(of, of == 0 ? 0 : Math.max(1, Math.round(part * of))));
        return t.kind() == Trouble.Kind.CRASH || t.kind() == Trouble.Kind.AGEING || t.kind() == Trouble.Kind.DRAIN
            ? spaced(all, some.size()) : List.copyOf(some);
    }

    /** Of three cells in a row outages take one at a time, so that a title of three copies is never without any. */
    private List<Integer> spaced(List<Integer> all, int wanted) {
        int cells = day.service().fleet().cells();
        List<Integer> taken = new ArrayList<>();
        for (int cell : all) {
            if (taken.size() < wanted && taken.stream().noneMatch(o -> {
                int apart = Math.floorMod(cell - o, cells);
                return apart < 3 || apart > cells - 3;
            })) {
                taken.add(cell);
            }
        }
        return taken;
    }

    private void begin(Trouble t, List<Integer> struck) {
        switch (t.kind()) {
            case CRASH -> struck.forEach(on::crash);
            case SLOW -> struck.forEach(h -> link(h, t, 1 / Math.max(1, t.size())));
            case HANG -> struck.forEach(h -> on.hang(h, true));
            case FAST_ERRORS -> struck.forEach(h -> on.errors(h, t.size()));
            case ANSWER_LOST -> struck.forEach(h -> on.answersLost(h, true));
            case NEIGHBOUR -> neighbour(t, struck, 0);
            case REPORT_LATE -> struck.forEach(h -> on.notesLater(h, (long) (t.size() * 1e9)));
            case DISCOVERY_STALE -> on.listStale((long) (t.size() * 1e9));
            case LIST_EMPTY -> on.listEmpty(true);
            case BALANCER_CRASH -> struck.forEach(g -> on.gateway(g, false));
            case ORIGIN_SLOW -> struck.forEach(r -> rack(r, t, 1 / Math.max(1, t.size())));
            case AGEING -> ageing(t, struck, 0);
            case DRAIN -> struck.forEach(on::drain);
            case BURST, HOT_KEY -> { } // The crowd is drawn with them.
        }
    }

    private void end(Trouble t, List<Integer> struck) {
        switch (t.kind()) {
            case CRASH, AGEING -> struck.forEach(h -> {
                link(h, t, 1);
                on.restart(h);
            });
            case SLOW, NEIGHBOUR -> struck.forEach(h -> link(h, t, 1));
            case HANG -> struck.forEach(h -> on.hang(h, false));
            case FAST_ERRORS -> struck.forEach(h -> on.errors(h, 0));
            case ANSWER_LOST -> struck.forEach(h -> on.answersLost(h, false));
            case REPORT_LATE -> struck.forEach(h -> on.notesLater(h, (long) (-t.size() * 1e9)));
            case DISCOVERY_STALE -> on.listStale(0);
            case LIST_EMPTY -> on.listEmpty(false);
            case BALANCER_CRASH -> struck.forEach(g -> on.gateway(g, true));
            case ORIGIN_SLOW -> struck.forEach(r -> rack(r, t, 1));
            case DRAIN -> struck.forEach(h -> {
                on.crash(h);
                on.restart(h);
            });
            case BURST, HOT_KEY -> { }
        }
    }

    private void link(int host, Trouble by, double part) {
        put(links, host, by, part, all -> {
            on.link(host, all);
            return all;
        });
    }

    private void rack(int rack, Trouble by, double part) {
        put(racks, rack, by, part, all -> {
            on.uplink(rack, all);
            return all;
        });
    }

    private static void put(Map<Integer, Map<Object, Double>> on, int which, Object by, double part,
        UnaryOperator<Double> apply) {
        Map<Object, Double> parts = on.computeIfAbsent(which, k -> new HashMap<>());
        if (part >= 1) {
            parts.remove(by);
        } else {
            parts.put(by, part);
        }
        apply.apply(parts.values().stream().reduce(1.0, (a, b) -> a * b));
    }

    /** Another program takes its share for some seconds, then leaves for as long. */
    private void neighbour(Trouble t, List<Integer> struck, int turn) {
        struck.forEach(h -> link(h, t, turn % 2 == 0 ? 1 - t.size() : 1));
        long next = (long) (Math.max(0.2, t.extra()) * 1e9);
        if (t.at() + (turn + 1) * next < t.end()) {
            at(next, () -> neighbour(t, struck, turn + 1));
        }
    }

    /** Links fade to a tenth over the trouble's first three quarters, then the hosts die. */
    private void ageing(Trouble t, List<Integer> struck, int step) {
        double age = step * AGEING_STEP_MS * 1e6 / t.length();
        if (age >= 0.75) {
            struck.forEach(on::crash);
        } else {
            struck.forEach(h -> link(h, t, Math.max(0.1, 1 - 1.2 * age)));
            at(AGEING_STEP_MS * 1_000_000, () -> ageing(t, struck, step + 1));
        }
    }
}
