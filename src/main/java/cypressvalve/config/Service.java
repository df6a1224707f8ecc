package cypressvalve.config;

import cypressvalve.model.Plan;
import cypressvalve.model.Settings;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * What the whole service agrees on, gateways and media hosts alike: plans, ladder, titles, the fleet's shape, the
 * rules in figures; peak is what a segment's rate may be over its rung's. Times are nanoseconds, rates kB (1,000 bytes) a second.
 */
public record Service(long segment, int window, double[] ladder, double[] revenue, double joinShare,
    Map<String, PlanRow> plans, Map<String, Double> tenants, Map<String, TitleRow> titles, Fleet fleet, Rules rules,
    Reports reports, int tries, double worstPlanWeight, double peak) {

    /** One plan. Its rates are the ladder's times factor; abandon bounds how long a viewer may ask to wait. */
    public record PlanRow(String name, Plan.Effect effect, long startup, long abandon, double revenue, boolean live,
        int floor, int top, int seats, double factor) { }

    /** One title and the cells that hold it: copies in a row from first. Length is 0 for a live one. */
    public record TitleRow(String key, boolean live, long length, int first, int copies) { }

    /** The fleet as it was built: link for each unit of weight, mean uplink of a rack, places by kind of host. */
    public record Fleet(int cells, int racks, double linkPerWeight, double uplink, double all,
        Map<String, Double> places) { }

    /** The rules in figures; see docs/design.md. A budget floor below 0 means that none is stated. */
    public record Rules(long drainGrace, long coldTime, double coldShare, double fallMultiple, long fallTime,
        double budgetFloor, double budgetShare, long budgetOver) { }

    /** How media hosts tell of their load. */
    public enum Via { ANSWERS, PROBE, NONE }

    /** Reports of load, and notes on playing sessions: how often, how late. */
    public record Reports(Via via, long notePeriod, long noteDelay) { }

    /** Reads the group of a file that holds these settings; faults go to the file's list. */
    public static Service read(Doc.Section s) {
        double[] ladder = s.reals("ladder", 0.001, 1e9);
        double[] revenue = s.reals("revenue", 0, 1e6);
        if (revenue.length != ladder.length) {
            s.wrong("revenue", "as many numbers as ladder has rungs (" + ladder.length + ")");
            revenue = Arrays.copyOf(revenue, ladder.length);
        }
        for (int i = 1; i < ladder.length; i++) {
            if (ladder[i] <= ladder[i - 1]) {
                s.wrong("ladder", "rates that rise from rung to rung");
                break;
            }
        }
        long segment = s.time("segment", 1_000_000_000L);
        if (segment < 100_000_000L || segment > 60_000_000_000L) {
            s.wrong("segment", "a time from 100ms to 60s");
        }
        Fleet fleet = fleet(s.section("fleet"));
        Map<String, PlanRow> plans = new LinkedHashMap<>();
        for (Doc.Section p : s.sections("plans")) {
            PlanRow row = plan(p, ladder.length);
            if (plans.put(row.name, row) != null) {
                p.wrong("name", "a name that no other plan has");
            }
        }
        if (plans.isEmpty()) {
            s.wrong("plans", "one plan at least");
        }
        Map<String, Double> tenants = new LinkedHashMap<>();
        for (Doc.Section t : s.sections("tenants")) {
            if (tenants.put(t.text("name"), t.real("share", 0, 1, 1)) != null) {
                t.wrong("name", "a name that no other tenant has");
            }
        }
        Map<String, TitleRow> titles = new LinkedHashMap<>();
        for (Doc.Section t : s.sections("titles")) {
            boolean live = t.flag("live", false);
            TitleRow row = new TitleRow(t.text("key"), live, live ? t.time("length", 0) : t.time("length"),
                (int) t.whole("first", 0, fleet.cells - 1), (int) t.whole("copies", 1, fleet.cells));
            if (!row.key.matches("[A-Za-z0-9_-]{1,64}")) {
                t.wrong("key", "1 to 64 letters, digits, '-' or '_'");
            }
            if (titles.put(row.key, row) != null) {
                t.wrong("key", "a key that no other title has");
            }
        }
        return new Service(segment, (int) s.whole("window", 3, 60, 6), ladder, revenue, s.real("join", 0, 1, 1),
            plans, tenants, titles, fleet, rules(s.optional("rules")), reports(s.optional("reports")),
            (int) s.whole("tries", 1, 100, 3), s.real("worst-plan-weight", 0, 1, 0),
            s.real("peak", 1, 10, 1.25));
    }

    /** The same service with other titles. */
    public Service withTitles(Map<String, TitleRow> others) {
        return new Service(segment, window, ladder, revenue, joinShare, plans, tenants, others, fleet, rules, reports,
            tries, worstPlanWeight, peak);
    }

    private static PlanRow plan(Doc.Section p, int rungs) {
        PlanRow row = new PlanRow(p.text("name"), p.choice("effect", Plan.Effect.class, Plan.Effect.REPEATABLE),
            p.time("startup"), p.time("abandon"), p.real("revenue", 0, 1e6, 1), p.flag("live", false),
            (int) p.whole("floor", 0, rungs - 1, 0), (int) p.whole("top", 0, rungs - 1, rungs - 1),
            (int) p.whole("seats", 0, Integer.MAX_VALUE, 0), p.real("factor", 0.001, 1000, 1));
        if (row.effect == Plan.Effect.BY_KEY) {
            p.wrong("effect", "repeatable or once; media hosts here know no key that makes a second set-up safe");
        }
        if (row.top < row.floor) {
            p.wrong("top", "a rung at or over the floor (" + row.floor + ")");
        }
        if (row.startup <= 0 || row.startup > row.abandon) {
            p.wrong("startup", "a time over 0 and not over abandon");
        }
        return row;
    }

    private static Fleet fleet(Doc.Section f) {
        int cells = (int) f.whole("cells", 1, 1_000_000);
        Map<String, Double> places = new LinkedHashMap<>();
        for (Doc.Section k : f.sections("kinds")) {
            places.put(k.text("name"), (double) k.whole("places", 1, 1_000_000));
        }
        if (places.isEmpty()) {
            f.wrong("kinds", "one kind of media host at least");
        }
        return new Fleet(cells, (int) f.whole("racks", 1, cells, 1), f.real("link", 0.001, 1e12),
            f.real("uplink", 0, 1e12, 0), f.real("all", 0, 1e15, 0), places);
    }

    private static Rules rules(Doc.Section r) {
        Doc.Section cold = r.optional("cold");
        Doc.Section budget = r.optional("budget");
        boolean stated = budget.has("floor") || budget.has("share");
        return new Rules(r.time("drain-grace", 1_000_000_000L), cold.time("time", 0), cold.real("share", 0.01, 1, 1),
            cold.real("multiple", 1, 1000, 3), cold.time("window", 1_000_000_000L),
            stated ? budget.real("floor", 0, 1e6, 0) : -1, budget.real("share", 0, 100, 0),
            budget.time("over", 10_000_000_000L));
    }

    private static Reports reports(Doc.Section r) {
        return new Reports(r.choice("via", Via.class, Via.ANSWERS), r.time("note-period", 0),
            r.time("note-delay", 200_000_000L));
    }

    /**
     * The settings of one gateway's Control, each call a copy of its own.
     *
     * @param me the gateway's number, from 0
     * @param gateways how many there are
     */
    public Settings control(int me, int gateways, String zone) {
        Settings c = new Settings();
        c.me = me;
        c.gateways = gateways;
        c.zone = zone;
        c.ladder = ladder.clone();
        c.rungRevenue = revenue.clone();
        for (PlanRow row : plans.values()) {
            Plan plan = new Plan();
            plan.effect = row.effect;
            plan.startupTarget = row.startup;
            plan.revenue = row.revenue;
            plan.live = row.live;
            plan.floor = row.floor;
            plan.top = row.top;
            plan.seats = row.seats;
            plan.rates = Arrays.stream(ladder).map(kb -> kb * row.factor).toArray();
            c.plans.add(plan);
            c.plansByName.put(row.name, plan);
        }
        List<String> names = new ArrayList<>(tenants.keySet());
        names.forEach(name -> c.tenants.put(name, names.indexOf(name)));
        c.allowance = new double[names.size()];
        c.cells = fleet.cells;
        c.racks = fleet.racks;
        c.places = new LinkedHashMap<>(fleet.places);
        c.linkPerRating = fleet.linkPerWeight;
        c.fleet = fleet.all;
        c.uplink = fleet.uplink > 0 ? fleet.uplink : Double.POSITIVE_INFINITY;
        c.joinShare = joinShare;
        c.noteDelay = reports.noteDelay;
        c.notePeriod = reports.notePeriod;
        c.reportsOnProbe = reports.via == Via.PROBE;
        c.mayProbe = reports.via == Via.PROBE;
        c.mayWithdraw = true;
        c.mayNameComeBack = true;
        c.longestComeBack = Long.MAX_VALUE;
        c.mostTries = tries;
        c.worstPlanWeight = worstPlanWeight;
        c.coldTime = rules.coldTime;
        c.coldShare = rules.coldShare;
        c.fallMultiple = rules.fallMultiple;
        c.fallTime = rules.fallTime;
        c.extraFloor = rules.budgetFloor;
        c.extraPerPlayback = rules.budgetShare;
        c.extraWindow = rules.budgetOver;
        return c;
    }
}
