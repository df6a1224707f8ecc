package cypressvalve.trouble;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.StreamSupport;

/**
 * A bench day file turned into a script for loopback: the same plans, habits, delays and troubles, with fewer hosts
 * and gateways and all rates scaled down alike. Parts and sizes of troubles stay; which machines they strike is drawn
 * anew. What can't be carried over is listed.
 */
public final class BenchDay {
    private static final ObjectMapper JSON = new ObjectMapper();
    /** All links together, kB a second: what one machine moves over loopback beside the work of both ends. */
    private static final double MOST_KB = 30_000;
    /** A player that starts late is no day's trouble: those there at the start come over two seconds. */
    private static final int MOST_AT_START = 300;
    private static final Set<String> AS_THEY_ARE = Set.of("crash", "slow", "hang", "fast_errors", "neighbour",
        "report_late", "burst", "hot_key", "discovery_stale", "balancer_crash", "origin_slow", "ageing",
        "answer_lost");

    private BenchDay() {
    }

    /** The script's text, and what it leaves out. */
    public record Converted(String script, List<String> leftOut) { }

    /** The file is no bench day. */
    public static final class NotADay extends Exception {
        private static final long serialVersionUID = 1;

        NotADay(String why) {
            super(why);
        }
    }

    /**
     * @param name of the file, for the message if it is refused
     * @param mostHosts media hosts of the script at most
     */
    public static Converted convert(String name, String text, int mostHosts, int mostGateways) throws NotADay {
        JsonNode day;
        try {
            day = JSON.readTree(text);
        } catch (JsonProcessingException e) {
            int line = e.getLocation() == null ? 1 : e.getLocation().getLineNr();
            throw new NotADay(name + ":" + line + ": expected JSON");
        }
        for (String field : List.of("fam", "classes", "servers", "balancers", "tiers", "traffic", "discovery")) {
            if (day == null || !day.has(field)) {
                throw new NotADay(name + ":1: " + field + ": expected a day file of the bench, but it is missing");
            }
        }
        if (!day.path("fam").has("rates")) {
            throw new NotADay(name + ":1: fam.rates: expected a day of the streams family");
        }
        return new Writer(day, mostHosts, mostGateways).write();
    }

    private static final class Writer {
        private final JsonNode day;
        private final JsonNode fam;
        private final int servers;
        private final int hosts;
        private final int gateways;
        private final List<String> leftOut = new ArrayList<>();
        private final StringBuilder out = new StringBuilder();

        Writer(JsonNode day, int mostHosts, int mostGateways) {
            this.day = day;
            fam = day.path("fam");
            servers = day.path("servers").size();
            hosts = Math.max(1, Math.min(mostHosts, servers));
            gateways = Math.max(1, Math.min(mostGateways, day.path("balancers").size()));
        }

        private void line(String format, Object... values) {
            out.append(String.format(Locale.ROOT, format, values)).append('\n');
        }

        Converted write() {
            JsonNode kind = day.path("tiers").path(0).path("kinds").path(0);
            JsonNode uses = fam.path("uses");
            JsonNode classes = day.path("classes");
            double link = fam.path("core_kb").asDouble() * kind.path("cores").asDouble(1);
            double shrink = Math.min(1, MOST_KB / (link * hosts));
            double[] rates = reals(fam.path("rates"));
            int racks = Math.max(1, Math.min(fam.path("racks").asInt(1),
                (int) Math.round((double) fam.path("racks").asInt(1) * hosts / servers)));
            double uplink = StreamSupport.stream(fam.path("uplink_kb").spliterator(), false)
                .mapToDouble(JsonNode::asDouble).average().orElse(0)
                * (hosts / (double) racks) / (servers / (double) Math.max(1, fam.path("racks").asInt(1)));
            double rate = fam.path("capacity").asDouble() * day.path("traffic").path("load").asDouble()
                * hosts / servers;
            double life = fam.path("life_s").asDouble(30);
            double lives = IntStream.range(0, classes.size()).mapToDouble(i ->
                classes.path(i).path("share").asDouble() * uses.path(i).path("life").asDouble(1)).sum() * life;
            int atStart = fam.path("resume").asBoolean(false) ? (int) Math.min(MOST_AT_START, rate * lives) : 0;
            line("# From a day file of the bench: %s, %s; %d of %d media hosts, %d of %d gateways, rates times %.4f.",
                day.path("site").asText(), day.path("kind").asText(), hosts, servers, gateways,
                day.path("balancers").size(), shrink);
            line("day: {name: %s-%s, seed: %d, length: %dms}", day.path("site").asText("bench"),
                day.path("kind").asText("day"), Math.floorMod(day.path("noise").asLong(1), 1L << 40),
                Math.max(5_000, day.path("length").asLong() / 1000));
            line("gateways: {count: %d}", gateways);
            JsonNode disc = day.path("discovery");
            line("hosts: {count: %d, link: %.1f, link-spread: 0.2, uplink: %.1f, uplink-spread: 0.2, cores: %d, "
                + "queue: %d, work: %dus, vary: %.3f, noise: %.3f, notice: %dus, add: %dus}", hosts, link * shrink,
                uplink * shrink, kind.path("cores").asInt(1),
                Math.max(1, kind.path("queue").asInt(20) * kind.path("cores").asInt(1)),
                Math.max(1000, (long) classes.path(0).path("work").asDouble(20_000)),
                Math.min(0.6, fam.path("vary").asDouble(0.1)),
                day.path("tiers").path(0).path("report_noise").asDouble(0.05), disc.path("notice").asLong(1_000_000),
                disc.path("add").asLong(500_000));
            long live = IntStream.range(0, uses.size()).filter(i -> uses.path(i).path("live").asBoolean()).count();
            line("titles: {recorded: %d, live: %d, copies: %d, zipf: %.3f, length: 10m}",
                live < uses.size() ? Math.max(3, fam.path("titles").asInt(30) * hosts / servers) : 0,
                live > 0 ? Math.max(1, fam.path("events").asInt(1)) : 0, Math.min(hosts, 4),
                fam.path("title_zipf").asDouble(0.8));
            viewers(classes, rate, atStart, (long) (lives * 1000));
            troubles();
            service(kind, rates, shrink, link, uplink, racks);
            leave();
            return new Converted(out.toString(), leftOut);
        }

        private static double[] reals(JsonNode list) {
            return StreamSupport.stream(list.spliterator(), false).mapToDouble(JsonNode::asDouble).toArray();
        }

        private void viewers(JsonNode classes, double rate, int atStart, long lifeMs) {
            String shares = StreamSupport.stream(classes.spliterator(), false)
                .map(c -> c.path("name").asText() + ": " + c.path("share").asDouble())
                .collect(Collectors.joining(", "));
            long rejoin = fam.path("rejoin_us").asLong(1_000_000);
            line("viewers: {rate: %.3f, at-start: %d, length: %dms, plans: {%s}, small-screens: %.3f, returns: %.3f, "
                + "come-least: %dus, come-most: %dus, honour: %.3f, retries: %d}", rate, atStart, lifeMs, shares,
                fam.path("small_screens").asDouble(0.2), fam.path("returns").asDouble(0.9), rejoin / 2, rejoin * 3 / 2,
                day.path("clients").path("honour").asDouble(0.5), 5);
        }

        private void troubles() {
            JsonNode troubles = day.path("troubles");
            line("troubles:%s", troubles.isEmpty() ? " []" : "");
            for (JsonNode t : troubles) {
                String kind = t.path("kind").asText();
                if (!AS_THEY_ARE.contains(kind)) {
                    leftOut.add("trouble " + kind + ": no part of this program can suffer it");
                    if (troubles.size() == 1) {
                        out.setLength(out.length() - 1);
                        line(" []");
                    }
                    continue;
                }
                int of = kind.equals("balancer_crash") ? day.path("balancers").size()
                    : kind.equals("origin_slow") ? Math.max(1, fam.path("racks").asInt(1)) : servers;
                double part = t.path("on").size() == 0 ? 0.3 : Math.min(1, t.path("on").size() / (double) of);
                double size = t.path("size").asDouble(1);
                double least = kind.equals("slow") || kind.equals("origin_slow") || kind.equals("burst") ? 1 : 0;
                line("  - {kind: %s, at: %dms, length: %dms, part: %.3f, size: %.4f, extra: %.3f}",
                    kind.replace('_', '-'), t.path("at").asLong() / 1000,
                    Math.max(1, t.path("len").asLong() / 1000), part, Math.max(least, size),
                    Math.max(0, t.path("extra").asDouble(1)));
            }
        }

        private void service(JsonNode kind, double[] rates, double shrink, double link, double uplink, int racks) {
            JsonNode tier = day.path("tiers").path(0);
            line("service:%n  segment: 1s%n  join: %.3f%n  tries: %d%n  worst-plan-weight: %.2f",
                fam.path("join").asDouble(1), Math.max(1, day.path("allow").path("max_attempts").asInt(3)),
                day.path("goal").path("worst_class").asDouble(0));
            line("  ladder: [%s]", java.util.Arrays.stream(rates)
                .mapToObj(r -> String.format(Locale.ROOT, "%.3f", r * shrink)).collect(Collectors.joining(", ")));
            double[] worth = reals(fam.path("worth"));
            line("  revenue: [%s]", IntStream.range(0, rates.length).mapToObj(i -> String.format(Locale.ROOT, "%.3f",
                i < worth.length ? worth[i] : (i + 1.0) / rates.length)).collect(Collectors.joining(", ")));
            line("  tenants:%s", day.path("tenants").isEmpty() ? " []" : "");
            day.path("tenants").forEach(t -> line("    - {name: %s, share: %.3f}", t.path("name").asText(),
                Math.min(1, t.path("share").asDouble(1))));
            line("  plans:");
            JsonNode classes = day.path("classes");
            for (int i = 0; i < classes.size(); i++) {
                JsonNode c = classes.path(i);
                JsonNode use = fam.path("uses").path(i);
                line("    - {name: %s, effect: %s, startup: %dus, abandon: %dus, revenue: %.2f, live: %s, floor: %d, "
                    + "top: %d, seats: %d, factor: %.3f}", c.path("name").asText(),
                    c.path("effect").asText().equals("unsafe") ? "once" : "repeatable", c.path("aim").asLong(),
                    c.path("deadline").asLong(), c.path("worth").asDouble(1), use.path("live").asBoolean(),
                    use.path("floor").asInt(0), Math.min(rates.length - 1, use.path("top").asInt(rates.length - 1)),
                    use.path("seats").asInt(0), use.path("scale").asDouble(1));
                if (c.path("effect").asText().equals("keyed")) {
                    leftOut.add("plan " + c.path("name").asText() + ": a key that makes a second set-up safe");
                }
            }
            line("  fleet: {cells: %d, racks: %d, link: %.1f, uplink: %.1f, kinds: [{name: %s, places: %d}]}", hosts,
                racks, link * shrink, uplink * shrink, kind.path("name").asText("std"),
                Math.max(1, (long) (fam.path("core_slots").asDouble(10) * kind.path("cores").asDouble(1))));
            line("  rules: {drain-grace: %dus, cold: {time: %dus, share: %.3f, multiple: %.2f, window: %dus}}",
                day.path("drain_grace").asLong(1_000_000), tier.path("stated_cold").asLong(10_000_000),
                Math.max(0.01, tier.path("stated_cold_from").asDouble(1)), day.path("fall_multiple").asDouble(3),
                day.path("fall_for").asLong(1_000_000));
            String how = tier.path("report_how").asText("none");
            line("  reports: {via: %s, note-period: %dus, note-delay: %dus}", how, fam.path("tell").asLong(0),
                fam.path("see").asLong(500_000));
        }

        private void leave() {
            Set<String> more = new TreeSet<>();
            more.add("the shape of load over the day, but for bursts");
            more.add("zones and the time between them");
            more.add("a set-up's work by plan (the first plan's stands for all), pauses, thrash, error rates");
            more.add("viewers' uneven spread over gateways, and tenants over their share");
            if (day.path("discovery").path("ask").asBoolean(false)) {
                more.add("a list that must be asked for");
            }
            leftOut.addAll(more);
        }
    }
}
