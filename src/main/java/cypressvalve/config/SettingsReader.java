package cypressvalve.config;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import cypressvalve.model.Plan;
import cypressvalve.model.Settings;
import java.util.Arrays;
import java.util.List;

/** Reads a gateway's settings from the JSON object that comes with its start, on the wire or in its configuration. */
public final class SettingsReader {
    private static final ObjectMapper JSON = new ObjectMapper();

    private SettingsReader() {
    }

    /** The settings in a JSON text. */
    public static Settings read(String text) {
        try {
            return read(JSON.readTree(text));
        } catch (JsonProcessingException e) {
            throw bad("not JSON");
        }
    }

    /** The settings in a JSON object. */
    public static Settings read(JsonNode all) {
        if (all == null || !all.isObject()) {
            throw bad("not a JSON object");
        }
        Settings s = new Settings();
        s.me = (int) number(all, "me", 0);
        s.gateways = (int) Math.max(1, number(all, "instances", 1));
        s.zone = all.path("locality").asText("");
        s.overShareRevenue = number(all, "overShareWorth", 1);
        s.listOnRequest = all.path("registryMode").asText("").equals("on_request");
        family(all, s);
        plans(all, s);
        tenants(all.path("tenants"), s);
        JsonNode limits = all.path("limits");
        s.mayProbe = limits.path("probes").asBoolean(false);
        s.mayWithdraw = limits.path("cancelling").asBoolean(false);
        s.mayNameComeBack = limits.path("retryAfter").asBoolean(false);
        s.longestComeBack = time(limits, "maxRetryAfterNs");
        s.mostTries = (int) number(limits, "mostTries", Integer.MAX_VALUE);
        s.worstPlanWeight = number(all.path("blend"), "worstClass", 0);
        JsonNode rules = all.path("rules");
        s.coldTime = time(rules, "coldNs");
        s.coldShare = number(rules, "coldShare", 1);
        s.fallMultiple = number(rules, "overloadFactor", Double.POSITIVE_INFINITY);
        s.fallTime = time(rules, "fallNs");
        s.extraFloor = number(rules, "extraFloor", rules.has("extraPerRequest") ? 0 : -1);
        s.extraPerPlayback = number(rules, "extraPerRequest", 0);
        s.extraWindow = time(rules, "countedOverNs");
        s.reportsOnProbe = all.path("stats").path("via").asText("").equals("on_probe");
        return s;
    }

    private static void plans(JsonNode all, Settings s) {
        JsonNode family = all.path("familyInfo");
        JsonNode services = all.path("services");
        for (int i = 0; i < services.size(); i++) {
            JsonNode row = services.get(i);
            Plan plan = new Plan();
            plan.effect = switch (row.path("effect").asText("")) {
                case "once" -> Plan.Effect.ONCE;
                case "by_key" -> Plan.Effect.BY_KEY;
                default -> Plan.Effect.REPEATABLE;
            };
            plan.scope = switch (row.path("dedupScope").asText("")) {
                case "zone" -> Plan.Scope.ZONE;
                case "cell" -> Plan.Scope.CELL;
                default -> Plan.Scope.ALL;
            };
            plan.keyWindow = time(row, "dedupWindowNs");
            plan.startupTarget = (long) number(row, "aimNs", Long.MAX_VALUE / 4);
            plan.revenue = number(row, "importance", 1);
            plan.live = family.path("classLive").path(i).asBoolean(false);
            plan.floor = (int) item(family, "floorByClass", i, 0);
            plan.top = (int) item(family, "classTop", i, Integer.MAX_VALUE);
            plan.seats = (int) item(family, "classSeats", i, 0);
            double factor = item(family, "rateFactor", i, 1);
            plan.rates = Arrays.stream(s.ladder).map(kb -> kb * factor).toArray();
            s.plans.add(plan);
            s.plansByName.put(row.path("name").asText(""), plan);
        }
    }

    private static void tenants(JsonNode tenants, Settings s) {
        s.allowance = new double[tenants.size()];
        for (int i = 0; i < tenants.size(); i++) {
            s.tenants.put(tenants.get(i).path("name").asText(""), i);
            s.allowance[i] = number(tenants.get(i), "allowancePerS", 0);
        }
    }

    private static void family(JsonNode all, Settings s) {
        JsonNode family = all.path("familyInfo");
        s.cells = (int) Math.max(1, number(family, "places", 1));
        s.racks = (int) Math.max(1, number(family, "shelves", 1));
        s.linkPerRating = number(family, "weightKb", 0);
        s.fleet = number(family, "fleetKb", 0);
        double uplink = number(family, "uplinkKb", 0);
        s.uplink = uplink > 0 ? uplink : Double.POSITIVE_INFINITY;
        s.joinShare = number(family, "sharedAdds", 1);
        s.fullFrom = number(family, "fullFrom", 0);
        s.noteDelay = time(family, "seenAfterNs");
        s.notePeriod = time(family, "tellNs");
        s.ladder = numbers(family, "ladderKb");
        s.rungRevenue = numbers(family, "levelWorth");
        if (s.rungRevenue.length < s.ladder.length) {
            throw bad("setting levelWorth is shorter than ladderKb");
        }
        JsonNode kinds = all.path("shapes");
        for (int i = 0; i < kinds.size(); i++) {
            s.places.put(kinds.get(i).asText(), item(family, "placesByKind", i, 0));
        }
    }

    private static BadSettings bad(String what) {
        return new BadSettings(List.of(what));
    }

    private static double number(JsonNode in, String key, double otherwise) {
        return numeric(in.path(key), key, otherwise);
    }

    private static double item(JsonNode in, String key, int i, double otherwise) {
        return numeric(in.path(key).path(i), key, otherwise);
    }

    private static double numeric(JsonNode node, String key, double otherwise) {
        if (node.isMissingNode() || node.isNull()) {
            return otherwise;
        }
        if (!node.isNumber()) {
            throw bad("setting " + key + " is not a number");
        }
        return node.asDouble();
    }

    private static long time(JsonNode in, String key) {
        return (long) number(in, key, 0);
    }

    private static double[] numbers(JsonNode in, String key) {
        JsonNode list = in.path(key);
        double[] values = new double[Math.max(1, list.size())];
        for (int i = 0; i < values.length; i++) {
            values[i] = item(in, key, i, 1);
        }
        return values;
    }
}
