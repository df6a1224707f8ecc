package cypressvalve.rehearsal;

import cypressvalve.standin.MediaHostServer;
import cypressvalve.trouble.DayScript;
import cypressvalve.trouble.Trouble;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.UnaryOperator;
import java.util.stream.IntStream;

/** Plays a day's troubles on a stage. What several do to one link multiplies; what they struck is drawn by the seed. */
public final class TroublePlayer {
    private static final long AGEING_STEP_MS = 500;

    private final Stage stage;
    private final ScheduledExecutorService timers;
    private final Random chance;
    private final Map<Integer, Map<Object, Double>> links = new HashMap<>();
    private final Map<Integer, Map<Object, Double>> racks = new HashMap<>();

    public TroublePlayer(Stage stage, ScheduledExecutorService timers) {
        this.stage = stage;
        this.timers = timers;
        chance = new Random(stage.day().seed() * 101 + 13);
    }

    /** Sets timers for all troubles, from now as the day's start. */
    public void play() {
        for (Trouble trouble : stage.day().troubles()) {
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
        timers.schedule(() -> {
            try {
                task.run();
            } catch (RuntimeException e) {
                stage.tape().put("rehearsal", "trouble-failed", "why", e.toString());
            }
        }, nanos, TimeUnit.NANOSECONDS);
    }

    private void told(Trouble t, List<Integer> struck, boolean on) {
        stage.tape().put("fault", on ? "begins" : "ends", "trouble", t.kind().name().toLowerCase(java.util.Locale.ROOT),
            "struck", struck, "size", t.size());
    }

    private List<Integer> struck(Trouble t) {
        int of = switch (t.kind()) {
            case ORIGIN_SLOW -> stage.uplinks().size();
            case BALANCER_CRASH -> stage.day().gateways().count();
            case BURST, HOT_KEY, DISCOVERY_STALE, LIST_EMPTY -> 0;
            default -> stage.hosts().size();
        };
        double part = t.kind() == Trouble.Kind.REPORT_LATE ? 1 : t.part();
        List<Integer> all = new ArrayList<>(IntStream.range(0, of).boxed().toList());
        Collections.shuffle(all, chance);
        List<Integer> some = all.subList(0, (int) Math.min(of, of == 0 ? 0 : Math.max(1, Math.round(part * of))));
        return t.kind() == Trouble.Kind.CRASH || t.kind() == Trouble.Kind.AGEING || t.kind() == Trouble.Kind.DRAIN
            ? spaced(all, some.size()) : List.copyOf(some);
    }

    /** Of three cells in a row outages take one at a time, so that a title of three copies is never without any. */
    private List<Integer> spaced(List<Integer> all, int wanted) {
        int cells = stage.day().service().fleet().cells();
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
            case CRASH -> struck.forEach(this::crash);
            case SLOW -> struck.forEach(h -> link(h, t, 1 / Math.max(1, t.size())));
            case HANG -> each(struck, h -> h.faults().hang = true);
            case FAST_ERRORS -> each(struck, h -> h.faults().errors = t.size());
            case ANSWER_LOST -> each(struck, h -> h.faults().answersLost = true);
            case NEIGHBOUR -> neighbour(t, struck, 0);
            case REPORT_LATE -> each(struck, h -> h.faults().notesLate += (long) (t.size() * 1e9));
            case DISCOVERY_STALE -> stage.list().stale((long) (t.size() * 1e9));
            case LIST_EMPTY -> stage.list().dropAll();
            case BALANCER_CRASH -> struck.forEach(stage::killGateway);
            case ORIGIN_SLOW -> struck.forEach(r -> rack(r, t, 1 / Math.max(1, t.size())));
            case AGEING -> ageing(t, struck, 0);
            case DRAIN -> struck.forEach(h -> stage.listed(h, "draining", stage.day().hosts().add()));
            case BURST, HOT_KEY -> { } // The crowd is drawn with them.
        }
    }

    private void end(Trouble t, List<Integer> struck) {
        switch (t.kind()) {
            case CRASH, AGEING -> struck.forEach(h -> {
                link(h, t, 1);
                restart(h);
            });
            case SLOW, NEIGHBOUR -> struck.forEach(h -> link(h, t, 1));
            case HANG -> each(struck, h -> h.faults().hang = false);
            case FAST_ERRORS -> each(struck, h -> h.faults().errors = 0);
            case ANSWER_LOST -> each(struck, h -> h.faults().answersLost = false);
            case REPORT_LATE -> each(struck, h -> h.faults().notesLate -= (long) (t.size() * 1e9));
            case DISCOVERY_STALE -> stage.list().stale(0);
            case LIST_EMPTY -> stage.list().republish();
            case BALANCER_CRASH -> struck.forEach(stage::startGateway);
            case ORIGIN_SLOW -> struck.forEach(r -> rack(r, t, 1));
            case DRAIN -> struck.forEach(h -> {
                crash(h);
                restart(h);
            });
            case BURST, HOT_KEY -> { }
        }
    }

    private void each(List<Integer> struck, java.util.function.Consumer<MediaHostServer> what) {
        struck.forEach(h -> what.accept(stage.hosts().get(h)));
    }

    private void crash(int host) {
        stage.hosts().get(host).crash();
        stage.listed(host, "gone", stage.day().hosts().notice());
    }

    private void restart(int host) {
        if (!stage.hosts().get(host).fallen()) {
            stage.hosts().get(host).start(false);
            stage.listed(host, "active", stage.day().hosts().add());
        }
    }

    private void link(int host, Trouble by, double part) {
        put(links, host, by, part, all -> {
            stage.hosts().get(host).faults().link = all;
            return all;
        });
    }

    private void rack(int rack, Trouble by, double part) {
        put(racks, rack, by, part, all -> {
            stage.uplinks().get(rack).weaken(all);
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
            struck.forEach(this::crash);
        } else {
            struck.forEach(h -> link(h, t, Math.max(0.1, 1 - 1.2 * age)));
            at(AGEING_STEP_MS * 1_000_000, () -> ageing(t, struck, step + 1));
        }
    }

    /** The kinds of a script's troubles, for the report. */
    public static String kinds(DayScript day) {
        return String.join("+", day.troubles().stream()
            .map(t -> t.kind().name().toLowerCase(java.util.Locale.ROOT)).distinct().toList());
    }
}
