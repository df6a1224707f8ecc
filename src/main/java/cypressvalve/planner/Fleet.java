package cypressvalve.planner;

import cypressvalve.config.Service;
import cypressvalve.trouble.DayScript;
import java.util.List;

/**
 * A fleet as a planner sees it; rates in kB a second.
 *
 * @param hosts that run
 * @param link true mean link of a host
 * @param uplink mean uplink of a rack, infinite if none is stated
 * @param places of a host
 * @param work core seconds of a set-up
 * @param cold what share of its capacity a fresh host has, and how many seconds it warms
 */
public record Fleet(int hosts, int racks, double link, double uplink, double places, int cores, double work,
    int gateways, double coldShare, double coldTime, Service service) {

    /** The fleet of a day's script. */
    public static Fleet of(DayScript day) {
        Service s = day.service();
        return new Fleet(day.hosts().count(), s.fleet().racks(), day.hosts().link(),
            day.hosts().uplink() > 0 ? day.hosts().uplink() : Double.POSITIVE_INFINITY,
            s.fleet().places().values().iterator().next(), day.hosts().cores(), day.hosts().work() / 1e9,
            day.gateways().count(), s.rules().coldShare(), s.rules().coldTime() / 1e9, s);
    }

    /** The same with so many gateways, one at least. */
    public Fleet gateways(int count) {
        return new Fleet(hosts, racks, link, uplink, places, cores, work, Math.max(1, count), coldShare, coldTime, service);
    }

    /** The same with so many hosts; the racks stay. */
    public Fleet hosts(int count) {
        return new Fleet(count, racks, link, uplink, places, cores, work, gateways, coldShare, coldTime, service);
    }

    /**
     * What viewers of a day want at its steady rate: arrivals times length (Little), by plan and title rank.
     *
     * @param length mean seconds that one watches
     */
    public static Demand demand(DayScript day) {
        Service s = day.service();
        double length = day.viewers().length() / 1e9;
        double all = day.viewers().shares().values().stream().mapToDouble(Double::doubleValue).sum();
        List<Demand.Wanted> playing = new java.util.ArrayList<>();
        java.util.Map<String, Double> shares = new java.util.HashMap<>();
        day.viewers().shares().forEach((name, share) -> {
            Service.PlanRow plan = s.plans().get(name);
            List<Service.TitleRow> titles = s.titles().values().stream().filter(t -> t.live() == plan.live()).toList();
            double zipf = 0;
            for (int i = 0; i < titles.size(); i++) {
                zipf += Math.pow(i + 1, -day.titles().zipf());
            }
            for (int i = 0; i < titles.size(); i++) {
                playing.add(new Demand.Wanted(titles.get(i).key(), name, day.viewers().rate() * length * share / all
                    * Math.pow(i + 1, -day.titles().zipf()) / zipf));
            }
            shares.put(name, share / all);
        });
        return new Demand(playing, day.viewers().rate(), shares, day.length() / 1e9, length);
    }
}
