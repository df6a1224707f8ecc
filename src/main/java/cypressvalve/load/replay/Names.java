package cypressvalve.load.replay;

import cypressvalve.config.Service;
import cypressvalve.load.sessions.Played;
import cypressvalve.load.trace.TraceReader;
import java.io.IOException;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;

/** What a trace's titles, plans and tenants are called in the service that it is replayed against. */
public final class Names {
    private final Service service;
    private final Map<String, String> plans;
    private final Map<String, String> titles = new LinkedHashMap<>();
    private final Map<String, Boolean> live = new LinkedHashMap<>();
    private final Map<String, Long> longest = new TreeMap<>();
    private final TreeSet<String> plansSeen = new TreeSet<>();

    private Names(Service service, Map<String, String> plans) {
        this.service = service;
        this.plans = plans;
    }

    /**
     * Reads a trace for its names.
     *
     * @param plans other names for plans
     */
    public static Names of(Path trace, Map<String, String> plans, Service service) throws IOException {
        Names names = new Names(service, plans);
        try (TraceReader in = TraceReader.open(trace)) {
            for (Played p = in.next(); p != null; p = in.next()) {
                names.plansSeen.add(names.plan(p));
                boolean isLive = names.isLive(p);
                String key = key(p.title(), isLive);
                // Names that a URI's path can't have as they are become numbers, in the order of their coming; a title
                // wanted both ways is two, as plans are for the one or the other.
                if (!names.titles.containsKey(key)) {
                    String name = p.title().matches("[A-Za-z0-9_-]{1,58}") ? p.title() : "title" + names.titles.size();
                    name = names.titles.containsValue(name) ? name + (isLive ? "-live" : "-rec") : name;
                    names.titles.put(key, name);
                    names.live.put(name, isLive);
                }
                names.longest.merge(names.title(p), p.length(), Math::max);
            }
        }
        return names;
    }

    private static String key(String title, boolean live) {
        return (live ? "l " : "r ") + title;
    }

    private boolean isLive(Played p) {
        Service.PlanRow row = service.plans().get(plan(p));
        return row == null ? p.live() : row.live();
    }

    public String title(Played p) {
        return titles.get(key(p.title(), isLive(p)));
    }

    public String plan(Played p) {
        return plans.getOrDefault(p.plan(), p.plan());
    }

    /** A tenant of the service: the trace's own if it is one, else the service's first. */
    public String tenant(Played p) {
        return service.tenants().isEmpty() || service.tenants().containsKey(p.tenant()) ? p.tenant()
            : service.tenants().keySet().iterator().next();
    }

    /** Plans that the service does not have. */
    public List<String> unknownPlans() {
        return plansSeen.stream().filter(p -> !service.plans().containsKey(p)).toList();
    }

    /**
     * The service with the trace's titles, each with copies where its name's hash says, as the service's own.
     *
     * @param copies of each title
     * @param length of recorded titles at least
     */
    public Service with(int copies, long length) {
        Map<String, Service.TitleRow> rows = new LinkedHashMap<>();
        titles.values().forEach(title -> {
            boolean isLive = live.get(title);
            rows.put(title, new Service.TitleRow(title, isLive, isLive ? 0 : Math.max(length, longest.get(title)),
                Math.floorMod(title.hashCode() * 0x9e3779b1 >>> 8, service.fleet().cells()),
                Math.min(copies, service.fleet().cells())));
        });
        return service.withTitles(rows);
    }
}
