package cypressvalve.planner;

import cypressvalve.config.Service;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.IntStream;

/**
 * What a fleet gives and what is wanted of it, by means and blocking formulas: an answer in milliseconds, which the
 * laboratory then refines. Free of I/O. docs/planner.md names the sources.
 */
public final class Fluid {
    /** Beyond this use viewers notice, as Control has it (FULL_SHARE). */
    private static final double FULL = 0.98;

    /**
     * New playbacks a second that one gateway's loop decides and answers, its segments' redirects beside them: half of
     * what bench/path reaches with client, gateway and hosts on one machine (docs/results.md).
     */
    private static final double GATEWAY_PACE = 1000;

    /** What can run out. */
    public enum Resource { LINKS, UPLINKS, PLACES, HOLDERS, HOLDER_PLACES, SEATS, SETUP_CORES, GATEWAYS }

    /**
     * One resource's use.
     *
     * @param low what is asked over what is there with everybody at the lowest rung: from 1 on viewers are turned away
     * @param high the same at the highest rungs that plans allow: from 1 on rungs go down
     * @param until how many times as many viewers it bears
     * @param which the title, plan or rack that is short, empty where all are alike
     */
    public record Use(Resource resource, double low, double high, double until, String which) { }

    /**
     * The estimate.
     *
     * @param uses the shortest first
     * @param blocked share of requests turned away
     * @param rungShare part of the way from the lowest to the highest rates that fits
     */
    public record Estimate(List<Use> uses, double blocked, double rungShare) {
        /** What runs out first as viewers grow. */
        public Use first() {
            return uses.get(0);
        }
    }

    private Fluid() {
    }

    /** The estimate for a fleet and what is wanted of it. */
    public static Estimate of(Fleet fleet, Demand demand) {
        return without(fleet, demand, List.of());
    }

    /**
     * The same while some hosts are lost; titles keep the holders that are left.
     *
     * @param lost numbers of hosts
     */
    public static Estimate without(Fleet fleet, Demand demand, List<Integer> lost) {
        Set<Integer> gone = new HashSet<>(lost);
        int hosts = fleet.hosts() - gone.size();
        Service service = fleet.service();
        double low = 0;
        double high = 0;
        double count = 0;
        Map<String, double[]> byTitle = new HashMap<>();
        double seats = 0;
        String fullestSeats = "";
        double refusedBySeats = 0;
        for (Demand.Wanted w : demand.playing()) {
            Service.PlanRow plan = service.plans().get(w.plan());
            double lowKb = kb(service, plan, plan.floor(), w.count());
            double highKb = kb(service, plan, plan.top(), w.count());
            low += lowKb;
            high += highKb;
            count += w.count();
            double[] title = byTitle.computeIfAbsent(w.title(), k -> new double[3]);
            title[0] += lowKb;
            title[1] += highKb;
            title[2] += w.count();
            if (plan.seats() > 0) {
                // Seats are counted by each gateway; viewers come to gateways by chance.
                double offered = w.count() / fleet.gateways();
                refusedBySeats += w.count() * erlangB(offered, plan.seats());
                if (offered / plan.seats() > seats) {
                    seats = offered / plan.seats();
                    fullestSeats = w.title() + " in " + w.plan();
                }
            }
        }
        List<Use> uses = new ArrayList<>();
        double links = Math.max(hosts, 1e-9) * fleet.link();
        add(uses, Resource.LINKS, low / links, high / links, "");
        if (Double.isFinite(fleet.uplink())) {
            // Hosts stand in racks in turn; what is wanted spreads evenly over those that live.
            int[] byRack = new int[fleet.racks()];
            for (int h = 0; h < fleet.hosts(); h++) {
                byRack[h % fleet.racks()] += gone.contains(h) ? 0 : 1;
            }
            int fullest = IntStream.range(0, byRack.length).reduce(0, (a, b) -> byRack[b] > byRack[a] ? b : a);
            double part = byRack[fullest] / Math.max(hosts, 1e-9);
            add(uses, Resource.UPLINKS, low * part / fleet.uplink(), high * part / fleet.uplink(),
                gone.isEmpty() ? "" : "rack " + fullest);
        }
        double places = count / (Math.max(hosts, 1e-9) * fleet.places());
        add(uses, Resource.PLACES, places, places, "");
        holders(fleet, byTitle, gone, uses);
        if (seats > 0) {
            add(uses, Resource.SEATS, seats, seats, fullestSeats);
        }
        double cores = demand.arrivals() * fleet.work() / (Math.max(hosts, 1e-9) * fleet.cores());
        add(uses, Resource.SETUP_CORES, cores, cores, "");
        double gateways = demand.arrivals() / (Math.max(1, fleet.gateways()) * GATEWAY_PACE);
        add(uses, Resource.GATEWAYS, gateways, gateways, "");
        uses.sort(Comparator.comparingDouble(Use::until));
        double mean = count == 0 ? 1 : low / count;
        double byLinks = erlangB(low / mean, FULL * links / mean);
        double byPlaces = erlangB(count, hosts * fleet.places());
        double blocked = 1 - (1 - byLinks) * (1 - byPlaces) * (1 - (count == 0 ? 0 : refusedBySeats / count));
        double capacity = Double.isFinite(fleet.uplink()) ? Math.min(links, fleet.racks() * fleet.uplink()) : links;
        return new Estimate(uses, blocked, high <= low ? 1
            : Math.max(0, Math.min(1, (FULL * capacity - low) / (high - low))));
    }

    private static void add(List<Use> uses, Resource resource, double low, double high, String which) {
        uses.add(new Use(resource, low, high, low <= 0 ? Double.POSITIVE_INFINITY : FULL / low, which));
    }

    /** What so many viewers of a title ask; those who share a live stream ask for its share only. */
    static double kb(Service service, Service.PlanRow plan, int rung, double viewers) {
        double rate = service.ladder()[rung] * plan.factor();
        return plan.live() && viewers > 1 ? rate * (1 + service.joinShare() * (viewers - 1)) : rate * viewers;
    }

    /**
     * A title alone on its holders: one that all want can fill their links while the fleet has room. What others ask
     * there can move elsewhere, so it is not counted; nor for their places, which viewers who share streams fill first.
     */
    private static void holders(Fleet fleet, Map<String, double[]> byTitle, Set<Integer> gone, List<Use> uses) {
        Use worst = null;
        Use fullest = null;
        for (Map.Entry<String, double[]> title : byTitle.entrySet()) {
            Service.TitleRow row = fleet.service().titles().get(title.getKey());
            int holders = 0;
            for (int i = 0; row != null && i < row.copies(); i++) {
                int cell = (row.first() + i) % fleet.service().fleet().cells();
                holders += cell < fleet.hosts() && !gone.contains(cell) ? 1 : 0;
            }
            double there = Math.max(1e-3, holders) * fleet.link();
            double low = title.getValue()[0] / there;
            double high = title.getValue()[1] / there;
            if (worst == null || low > worst.low()) {
                worst = new Use(Resource.HOLDERS, low, high, low <= 0 ? Double.POSITIVE_INFINITY : FULL / low,
                    title.getKey());
            }
            double full = title.getValue()[2] / Math.max(1e-3, holders) / fleet.places();
            if (fullest == null || full > fullest.low()) {
                fullest = new Use(Resource.HOLDER_PLACES, full, full, full <= 0 ? Double.POSITIVE_INFINITY : FULL / full,
                    title.getKey());
            }
        }
        if (worst != null) {
            uses.add(worst);
            uses.add(fullest);
        }
    }

    /**
     * Share of arrivals that find all servers busy (Erlang's loss formula, by its recursion on the inverse; a part of
     * a server counts between its neighbours).
     *
     * @param offered mean of servers wanted
     */
    static double erlangB(double offered, double servers) {
        if (offered <= 0) {
            return 0;
        }
        int whole = (int) Math.floor(servers);
        double inverse = 1;
        for (int n = 1; n <= whole; n++) {
            inverse = 1 + inverse * n / offered;
            if (Double.isInfinite(inverse)) {
                return 0;
            }
        }
        double next = 1 + inverse * (whole + 1) / offered;
        double part = servers - whole;
        return 1 / inverse * (1 - part) + 1 / next * part;
    }
}
