package cypressvalve.trouble;

import cypressvalve.config.Service;
import cypressvalve.standin.Player;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Random;

/** The viewers of a day, drawn whole from its seed before it begins: who comes when, wanting what, for how long. */
public final class Crowd {
    /** One viewer and when it comes, in nanoseconds from the day's start; one that resumes plays already then. */
    public record Coming(long at, boolean resumes, Player.Viewer viewer) { }

    private static final long SECOND = 1_000_000_000L;
    /** Viewers at the start for whom no host has room ask over this time, so that hosts are not met by a wall. */
    private static final long START_SPREAD = 2 * SECOND;

    private Crowd() {
    }

    /** All viewers in the order of their coming. */
    public static List<Coming> of(DayScript day) {
        Random chance = new Random(day.seed());
        List<Coming> all = new ArrayList<>();
        for (int i = 0; i < day.viewers().atStart(); i++) {
            all.add(new Coming((long) (chance.nextDouble() * START_SPREAD), true, viewer(day, chance, all.size(), 0)));
        }
        double most = day.viewers().rate() * day.troubles().stream()
            .filter(t -> t.kind() == Trouble.Kind.BURST).mapToDouble(Trouble::size).reduce(1, (a, b) -> a * b);
        // Thinning: arrivals at the highest rate, kept by the rate in force.
        double at = 0;
        while (most > 0) {
            at += -Math.log(1 - chance.nextDouble()) / most * SECOND;
            if (at >= day.length()) {
                break;
            }
            if (chance.nextDouble() * most < rate(day, (long) at)) {
                all.add(new Coming((long) at, false, viewer(day, chance, all.size(), (long) at)));
            }
        }
        all.sort(Comparator.comparingLong(Coming::at));
        return all;
    }

    private static double rate(DayScript day, long at) {
        return day.viewers().rate() * in(day, at, Trouble.Kind.BURST).mapToDouble(Trouble::size)
            .reduce(1, (a, b) -> a * b);
    }

    private static java.util.stream.Stream<Trouble> in(DayScript day, long at, Trouble.Kind kind) {
        return day.troubles().stream().filter(t -> t.kind() == kind && at >= t.at() && at < t.end());
    }

    private static Player.Viewer viewer(DayScript day, Random chance, int number, long at) {
        DayScript.Viewers v = day.viewers();
        Service service = day.service();
        Trouble hot = in(day, at, Trouble.Kind.HOT_KEY).findFirst().orElse(null);
        Service.PlanRow plan = service.plans().get(drawn(v.shares(), chance));
        List<Service.TitleRow> titles = service.titles().values().stream()
            .filter(t -> t.live() == plan.live()).toList();
        // A crowd wants the last, rarest titles, which is what makes it one.
        int rank = hot != null && chance.nextDouble() < hot.size()
            ? titles.size() - 1 - chance.nextInt((int) Math.max(1, Math.min(titles.size(), hot.extra())))
            : rank(titles.size(), day.titles().zipf(), chance);
        double spread = 0.4 + 1.2 * chance.nextDouble();
        long length = (long) (v.length() * spread);
        int top = service.ladder().length - 1;
        int screen = chance.nextDouble() < v.smallScreens() ? Math.max(0, top / 2) : top;
        String tenant = service.tenants().isEmpty() ? "" : drawn(service.tenants(), chance);
        return new Player.Viewer("v" + number, titles.get(rank).key(), plan.name(), tenant, screen, plan.live(),
            length, Math.round(length * (0.7 + 0.6 * chance.nextDouble()) / SECOND),
            Math.max(1, plan.abandon() / SECOND) * SECOND);
    }

    private static int rank(int count, double zipf, Random chance) {
        double[] sums = new double[count];
        double sum = 0;
        for (int i = 0; i < count; i++) {
            sum += Math.pow(i + 1, -zipf);
            sums[i] = sum;
        }
        double x = chance.nextDouble() * sum;
        int i = 0;
        while (i < count - 1 && sums[i] < x) {
            i++;
        }
        return i;
    }

    private static String drawn(Map<String, Double> shares, Random chance) {
        double x = chance.nextDouble() * shares.values().stream().mapToDouble(Double::doubleValue).sum();
        String last = "";
        for (Map.Entry<String, Double> share : shares.entrySet()) {
            last = share.getKey();
            x -= share.getValue();
            if (x < 0) {
                break;
            }
        }
        return last;
    }
}
