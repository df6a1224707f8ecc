package cypressvalve.trouble;

import cypressvalve.config.Doc;
import cypressvalve.config.Service;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

/**
 * A day to rehearse: the service, the fleet as it truly is, viewers, gateways and what goes wrong. Times are
 * nanoseconds, rates kB a second. The same script and seed give the same arrivals and the same struck hosts.
 */
public record DayScript(String name, long seed, long length, Service service, Hosts hosts, Titles titles,
    Viewers viewers, Gateways gateways, List<Trouble> troubles) {

    /**
     * The media hosts as they are.
     *
     * @param count at the start; one cell each, cells beyond are empty
     * @param link true mean link, and its spread as a part
     * @param uplink mean uplink of a rack, and its spread
     * @param work mean time of a core for a set-up
     * @param zones that racks and gateways stand in, by turns; one where nothing is said of them
     * @param notice how late the list tells that one is gone, add that one has started
     */
    public record Hosts(int count, double link, double linkSpread, double uplink, double uplinkSpread, int cores,
        int queue, long work, double vary, long lease, double noise, long notice, long add, int zones) { }

    /** How many titles, how many copies of each, and how unevenly they are wanted (the exponent of rank). */
    public record Titles(int recorded, int live, int copies, double zipf, long length) { }

    /**
     * The viewers.
     *
     * @param rate first tries a second
     * @param atStart viewers that come in the first two seconds beside those
     * @param length mean time that one watches; each plan has a share of them
     */
    public record Viewers(double rate, int atStart, long length, Map<String, Double> shares, double smallScreens,
        double returns, long comeLeast, long comeMost, double honour, double silent, int retries, double buffer,
        long starve) { }

    /** How many gateways. */
    public record Gateways(int count) { }

    /** The rack that a host stands in: hosts stand in racks by turns. */
    public int rackOf(int host) {
        return host % service.fleet().racks();
    }

    /** The zone of a rack, empty where there is one only. */
    public String zoneOfRack(int rack) {
        return hosts.zones() == 1 ? "" : "zone-" + rack % hosts.zones();
    }

    /** The zone of a gateway, empty where there is one only. */
    public String zoneOfGateway(int gateway) {
        return hosts.zones() == 1 ? "" : "zone-" + gateway % hosts.zones();
    }

    /** The same day by another seed. */
    public DayScript withSeed(long other) {
        return new DayScript(name, other, length, service, hosts, titles, viewers, gateways, troubles);
    }

    /** The same day, so long. */
    public DayScript withLength(long other) {
        return new DayScript(name, seed, other, service, hosts, titles, viewers, gateways, troubles);
    }

    /** The same day of a service with other titles or plans. */
    public DayScript withService(Service other) {
        return new DayScript(name, seed, length, other, hosts, titles, viewers, gateways, troubles);
    }

    /** The same day with other troubles. */
    public DayScript withTroubles(List<Trouble> others) {
        return new DayScript(name, seed, length, service, hosts, titles, viewers, gateways, others);
    }

    /** Reads a day's script whole; faults go to the file's list. */
    public static DayScript read(Doc doc) {
        Doc.Section root = doc.root();
        Doc.Section d = root.section("day");
        Service service = Service.read(root.section("service"));
        Doc.Section t = root.section("titles");
        Titles titles = new Titles((int) t.whole("recorded", 0, 10_000), (int) t.whole("live", 0, 10_000, 0),
            (int) t.whole("copies", 1, service.fleet().cells(), Math.min(3, service.fleet().cells())),
            t.real("zipf", 0, 3, 0.8), t.time("length", 60_000_000_000L));
        Viewers viewers = viewers(root.section("viewers"), service);
        long seed = d.whole("seed", 0, Long.MAX_VALUE, 1);
        long length = d.time("length");
        List<Trouble> troubles = new ArrayList<>();
        List<Doc.Section> scripts = new ArrayList<>();
        for (Doc.Section s : root.sections("troubles")) {
            Trouble trouble = trouble(s);
            if (trouble.at() >= length) {
                s.wrong("at", "a time before the day's end");
            }
            scripts.add(s);
            troubles.add(trouble);
        }
        if (service.titles().isEmpty() && titles.recorded + titles.live == 0) {
            t.wrong("recorded", "one title at least");
        }
        boolean needsLive = service.plans().values().stream().anyMatch(Service.PlanRow::live);
        boolean needsRecorded = service.plans().values().stream().anyMatch(p -> !p.live());
        if (needsLive && titles.live == 0) {
            t.wrong("live", "one title at least, as a plan is live");
        }
        if (needsRecorded && titles.recorded == 0) {
            t.wrong("recorded", "one title at least, as a plan is not live");
        }
        Hosts hosts = hosts(root.section("hosts"), service);
        Gateways gateways = new Gateways((int) root.optional("gateways").whole("count", 1, 100_000, 1));
        for (int i = 0; i < troubles.size(); i++) {
            int of = troubles.get(i).of(hosts.count, service.fleet().racks(), gateways.count);
            if (troubles.get(i).only().stream().anyMatch(n -> n >= of)) {
                scripts.get(i).wrong("only", of == 0 ? "nothing, as this kind strikes no host, rack or gateway"
                    : "numbers from 0 to " + (of - 1));
            }
        }
        return new DayScript(d.text("name", "day"), seed, length,
            service.withTitles(titles(titles, service.fleet().cells(), seed)), hosts, titles, viewers, gateways, troubles);
    }

    private static Hosts hosts(Doc.Section h, Service service) {
        Service.Fleet fleet = service.fleet();
        return new Hosts((int) h.whole("count", 1, fleet.cells(), fleet.cells()),
            h.real("link", 0.001, 1e12, fleet.linkPerWeight()), h.real("link-spread", 0, 0.9, 0.1),
            h.real("uplink", 0, 1e12, fleet.uplink()), h.real("uplink-spread", 0, 0.9, 0.1),
            (int) h.whole("cores", 1, 1024, 2), (int) h.whole("queue", 0, 100_000, 20), h.time("work", 20_000_000L),
            h.real("vary", 0, 0.6, 0.1), h.time("lease", 12_000_000_000L), h.real("noise", 0, 1, 0.05),
            h.time("notice", 1_500_000_000L), h.time("add", 800_000_000L),
            (int) h.whole("zones", 1, fleet.racks(), 1));
    }

    private static Viewers viewers(Doc.Section v, Service service) {
        Map<String, Double> shares = new LinkedHashMap<>();
        Doc.Section s = v.section("plans");
        for (String plan : s.keys()) {
            if (service.plans().containsKey(plan)) {
                shares.put(plan, s.real(plan, 0, 1));
            } else {
                s.wrong(plan, "a plan of the service");
            }
        }
        if (shares.values().stream().mapToDouble(Double::doubleValue).sum() <= 0) {
            v.wrong("plans", "a share over 0 for one plan at least");
        }
        Viewers viewers = new Viewers(v.real("rate", 0, 100_000), (int) v.whole("at-start", 0, 1_000_000, 0),
            v.time("length"), shares, v.real("small-screens", 0, 1, 0.25), v.real("returns", 0, 1, 0.9),
            v.time("come-least", 500_000_000L), v.time("come-most", 3_000_000_000L), v.real("honour", 0, 1, 0.7),
            v.real("silent", 0, 1, 0.1), (int) v.whole("retries", 0, 1000, 5), v.real("buffer", 0, 120, 3),
            v.time("starve", 4_000_000_000L));
        if (viewers.comeMost < viewers.comeLeast) {
            v.wrong("come-most", "a time not under come-least");
        }
        return viewers;
    }

    private static Trouble trouble(Doc.Section s) {
        Trouble.Kind kind = s.choice("kind", Trouble.Kind.class, null);
        Trouble trouble = new Trouble(kind == null ? Trouble.Kind.CRASH : kind, s.time("at"), s.time("length"),
            s.real("part", 0, 1, 0.2), s.real("size", 0, 1000, 1), s.real("extra", 0, 1000, 1),
            numbers(s));
        boolean wrong = switch (trouble.kind()) {
            case FAST_ERRORS, NEIGHBOUR, HOT_KEY -> trouble.size() > 1;
            case SLOW, ORIGIN_SLOW, BURST -> trouble.size() < 1;
            default -> false;
        };
        if (wrong) {
            s.wrong("size", switch (trouble.kind()) {
                case FAST_ERRORS, NEIGHBOUR, HOT_KEY -> "a share from 0 to 1";
                default -> "a multiple of 1 or more";
            });
        }
        return trouble;
    }

    private static List<Integer> numbers(Doc.Section s) {
        List<Integer> only = new ArrayList<>();
        if (s.has("only")) {
            for (double number : s.reals("only", 0, 1_000_000)) {
                if (number != Math.rint(number) || only.contains((int) number)) {
                    s.wrong("only", "whole numbers, each once");
                    return List.of();
                }
                only.add((int) number);
            }
        }
        return List.copyOf(only);
    }

    private static Map<String, Service.TitleRow> titles(Titles t, int cells, long seed) {
        Random chance = new Random(seed * 31 + 7);
        Map<String, Service.TitleRow> rows = new LinkedHashMap<>();
        for (int i = 0; i < t.recorded; i++) {
            rows.put("r" + i, new Service.TitleRow("r" + i, false, t.length, chance.nextInt(cells), t.copies));
        }
        for (int i = 0; i < t.live; i++) {
            rows.put("l" + i, new Service.TitleRow("l" + i, true, 0, chance.nextInt(cells), t.copies));
        }
        return rows;
    }
}
