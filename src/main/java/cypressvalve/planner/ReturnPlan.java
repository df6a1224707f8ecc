package cypressvalve.planner;

import cypressvalve.config.Service;
import cypressvalve.trouble.DayScript;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

/**
 * In which order lost hosts should come back, how fast, and when service may be whole: advice for who starts them.
 * Rule 4 is Control's to keep at each host; this says what the pace of all cold hosts together bears. Free of I/O;
 * times are seconds from the loss, rates kB a second.
 *
 * @param starts the hosts in the order of their starts
 * @param wholeAt when the fleet could carry what is wanted at the lowest rung again
 * @param delayedBy what that time hangs on
 */
public record ReturnPlan(List<Start> starts, double wholeAt, Delay delayedBy) {
    /** A host's start and why it comes then. */
    public record Start(int host, double at, String why) { }

    /** What delays the return most. */
    public enum Delay { NOTHING, STARTS, WARM_UP, SETUP_PACE, LIST }

    /** A host whose word that it started takes so long to all is no use before. */
    private record Terms(double first, double every, double listDelay) { }

    /** A fleet that fills to this part of its links serves everybody at the lowest rung, as Control has it. */
    private static final double FULL = 0.98;
    /** How finely the return is looked through. */
    private static final double STEP = 0.25;
    /** Beyond this a return is not planned: what is still not whole then has another cause. */
    private static final double LONGEST = 3600;
    /** Part of the pace at a cold host that gateways use between them, as their turns leave some of it free. */
    private static final double TURN_PART = 0.4;

    /**
     * Plans the return.
     *
     * @param lost numbers of the hosts
     * @param first seconds from the loss to the first start
     * @param every seconds between starts, 0 if all can start at once
     */
    public static ReturnPlan of(DayScript day, Demand demand, List<Integer> lost, double first, double every) {
        List<Start> starts = order(day, demand, lost, first, every);
        return whole(day, demand, lost, starts, new Terms(first, every, day.hosts().add() / 1e9));
    }

    /**
     * The rules of order: first who alone would hold a title that nobody living holds, by what is wanted of these; then
     * who eases the fullest title's holders most; of equals the one whose rack has the fewest that live.
     */
    private static List<Start> order(DayScript day, Demand demand, List<Integer> lost, double first, double every) {
        Service service = day.service();
        Map<String, Double> wanted = wanted(service, demand);
        Map<String, Set<Integer>> holders = new HashMap<>();
        service.titles().values().forEach(t -> {
            Set<Integer> all = new HashSet<>();
            for (int i = 0; i < t.copies(); i++) {
                int cell = (t.first() + i) % service.fleet().cells();
                if (cell < day.hosts().count()) {
                    all.add(cell);
                }
            }
            holders.put(t.key(), all);
        });
        Set<Integer> up = new HashSet<>();
        for (int h = 0; h < day.hosts().count(); h++) {
            if (!lost.contains(h)) {
                up.add(h);
            }
        }
        List<Integer> left = new ArrayList<>(lost);
        List<Start> starts = new ArrayList<>();
        while (!left.isEmpty()) {
            int next = left.stream().max(Comparator.<Integer>comparingDouble(h -> alone(h, holders, up, wanted))
                .thenComparingDouble(h -> eases(h, holders, up, wanted))
                .thenComparingDouble(h -> -up.stream().filter(o -> day.rackOf(o) == day.rackOf(h)).count())
                .thenComparingInt(h -> -h)).orElseThrow();
            double alone = alone(next, holders, up, wanted);
            starts.add(new Start(next, first + starts.size() * every, alone > 0
                ? String.format(Locale.ROOT, "holds titles that nobody living holds, %.0f kB a second wanted", alone)
                : String.format(Locale.ROOT, "eases its fullest title's holders by %.0f kB a second each",
                    eases(next, holders, up, wanted))));
            up.add(next);
            left.remove((Integer) next);
        }
        return starts;
    }

    private static Map<String, Double> wanted(Service service, Demand demand) {
        Map<String, Double> wanted = new HashMap<>();
        demand.playing().forEach(w -> {
            Service.PlanRow plan = service.plans().get(w.plan());
            wanted.merge(w.title(), Fluid.kb(service, plan, plan.floor(), w.count()), Double::sum);
        });
        return wanted;
    }

    private static double alone(int host, Map<String, Set<Integer>> holders, Set<Integer> up,
        Map<String, Double> wanted) {
        return holders.entrySet().stream().filter(e -> e.getValue().contains(host)
            && e.getValue().stream().noneMatch(up::contains))
            .mapToDouble(e -> wanted.getOrDefault(e.getKey(), 0.0)).sum();
    }

    private static double eases(int host, Map<String, Set<Integer>> holders, Set<Integer> up,
        Map<String, Double> wanted) {
        return holders.entrySet().stream().filter(e -> e.getValue().contains(host)).mapToDouble(e -> {
            long living = e.getValue().stream().filter(up::contains).count();
            double all = wanted.getOrDefault(e.getKey(), 0.0);
            return living == 0 ? all : all / living - all / (living + 1);
        }).max().orElse(0);
    }

    /**
     * When what is wanted fits again: room of the living and the warmed part of those that came back, and set-ups for
     * all who lost their playback, at the pace that cold hosts take and what the living have spare.
     */
    private static ReturnPlan whole(DayScript day, Demand demand, List<Integer> lost, List<Start> starts, Terms terms) {
        Fleet fleet = Fleet.of(day);
        double wantedKb = wanted(day.service(), demand).values().stream().mapToDouble(Double::doubleValue).sum();
        double shareLost = lost.size() / (double) day.hosts().count();
        double toSetUp = demand.count() * shareLost;
        double livingKb = (fleet.hosts() - lost.size()) * fleet.link();
        // Nobody comes back at once: what the living can take they take as soon as viewers ask again.
        double playingKb = wantedKb * (1 - shareLost);
        double perPlayback = demand.count() <= 0 ? 0 : wantedKb / demand.count();
        double spare = Math.max(0, FULL * livingKb - playingKb);
        toSetUp -= perPlayback <= 0 ? toSetUp : Math.min(toSetUp, spare / perPlayback);
        if (toSetUp <= 1e-9 && starts.isEmpty()) {
            return new ReturnPlan(starts, 0, Delay.NOTHING);
        }
        double rooms = Double.NaN;
        double set = 0;
        for (double at = 0; at <= LONGEST; at += STEP) {
            double warmed = 0;
            double pace = 0;
            for (Start s : starts) {
                double age = at - s.at - terms.listDelay;
                if (age < 0) {
                    continue;
                }
                double warmth = fleet.coldTime() <= 0 ? 1
                    : Math.min(1, fleet.coldShare() + (1 - fleet.coldShare()) * age / fleet.coldTime());
                warmed += warmth * fleet.link();
                pace += age < fleet.coldTime() ? TURN_PART * fleet.places() / fleet.coldTime() * warmth
                    : fleet.cores() / Math.max(1e-9, fleet.work());
            }
            boolean room = FULL * (livingKb + warmed) >= wantedKb || toSetUp <= 1e-9;
            rooms = Double.isNaN(rooms) && room ? at : rooms;
            set += pace * STEP;
            if (room && set >= toSetUp) {
                return new ReturnPlan(starts, toSetUp <= 1e-9 ? 0 : at, delay(starts, terms, fleet, at, rooms, toSetUp));
            }
        }
        return new ReturnPlan(starts, Double.NaN, Delay.STARTS);
    }

    private static Delay delay(List<Start> starts, Terms terms, Fleet fleet, double at, double rooms, double toSetUp) {
        if (toSetUp <= 1e-9 || starts.isEmpty()) {
            return Delay.NOTHING;
        }
        if (at > rooms + STEP) {
            return Delay.SETUP_PACE;
        }
        double lastStart = starts.stream().mapToDouble(Start::at).filter(s -> s + terms.listDelay <= at).max().orElse(0);
        double sinceStart = at - lastStart - terms.listDelay;
        if (sinceStart < STEP * 2 && terms.every * starts.size() < terms.listDelay) {
            return Delay.LIST;
        }
        return sinceStart < Math.min(fleet.coldTime(), Math.max(terms.every, STEP * 2)) ? Delay.STARTS : Delay.WARM_UP;
    }

    /** The return as troubles of a day that a rehearsal can run: each host's crash from the loss to its start. */
    public List<Map<String, Object>> troubles(double lostAt) {
        List<Map<String, Object>> all = new ArrayList<>();
        starts.forEach(s -> all.add(Map.of("kind", "crash", "at", micros(lostAt), "length", micros(Math.max(s.at, 0.001)),
            "only", List.of(s.host))));
        return all;
    }

    private static String micros(double seconds) {
        return Math.round(seconds * 1e6) + "us";
    }
}
