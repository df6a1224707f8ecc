package cypressvalve.fleet.stream;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import cypressvalve.fleet.ListEntry;
import cypressvalve.fleet.membership.ListVersion;
import cypressvalve.host.HostAddress;
import cypressvalve.model.MediaHost;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;

/** The coordinator's events as versions of the list; one with any fault in it is refused whole. */
public final class Change {
    private static final ObjectMapper JSON = new ObjectMapper().enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS);
    private static final long MS = 1_000_000;

    /** Why an event was refused: the field and what was expected. */
    public static final class Refused extends Exception {
        private static final long serialVersionUID = 1;

        Refused(String why) {
            super(why);
        }
    }

    private Change() {
    }

    /** The version in an event's text. */
    static ListVersion read(String text, int cells, Set<String> kinds) throws Refused {
        try {
            JsonNode event = JSON.readTree(text);
            check(event.path("index").canConvertToLong(), "index: expected a number");
            return read(event.path("endpoints"), event.path("index").asLong(), cells, kinds);
        } catch (JsonProcessingException e) {
            throw new Refused("not JSON");
        }
    }

    /** What can be read of an event that was refused; nothing if not even its number can. */
    static Optional<ListVersion> readable(String text, int cells, Set<String> kinds, Consumer<String> log) {
        try {
            JsonNode event = JSON.readTree(text);
            check(event.path("index").canConvertToLong(), "index: expected a number");
            Map<Long, ListEntry> entries = new LinkedHashMap<>();
            int number = 0;
            for (JsonNode i : event.path("endpoints").path("instances")) {
                try {
                    ListEntry entry = entry(i, "instances[" + number++ + "].", cells, kinds);
                    entries.put(entry.address().id(), entry);
                } catch (Refused e) {
                    log.accept("an entry of event " + event.path("index").asLong() + " is left out: " + e.getMessage());
                }
            }
            // Whoever is left out has not gone by that: what is told here changes, it does not replace.
            return Optional.of(new ListVersion(event.path("index").asLong(), false, List.copyOf(entries.values())));
        } catch (JsonProcessingException | Refused e) {
            log.accept("an event is left out: it can't be read");
            return Optional.empty();
        }
    }

    /** The versions that the configuration holds, in order; the number of the last is the configuration's. */
    public static List<ListVersion> known(JsonNode known, int cells, Set<String> kinds) throws Refused {
        check(known.path("index").canConvertToLong(), "index: expected a number");
        check(known.path("updates").isArray(), "updates: expected a list");
        List<ListVersion> all = new ArrayList<>();
        for (JsonNode update : known.path("updates")) {
            all.add(read(update.has("endpoints") ? update.path("endpoints") : update, known.path("index").asLong(), cells,
                kinds));
        }
        return all;
    }

    private static ListVersion read(JsonNode endpoints, long index, int cells, Set<String> kinds) throws Refused {
        check(endpoints.path("instances").isArray(), "endpoints.instances: expected a list");
        List<ListEntry> entries = new ArrayList<>();
        Set<Long> ids = new HashSet<>();
        for (JsonNode i : endpoints.path("instances")) {
            String at = "instances[" + entries.size() + "].";
            ListEntry entry = entry(i, at, cells, kinds);
            check(ids.add(entry.address().id()), at + "instanceId: expected one that no other has");
            entries.add(entry);
        }
        return new ListVersion(index, endpoints.path("reset").asBoolean(false), entries);
    }

    private static ListEntry entry(JsonNode i, String at, int cells, Set<String> kinds) throws Refused {
        String name = i.path("instanceId").asText("");
        check(!name.isEmpty(), at + "instanceId: expected a name");
        MediaHost.State state = switch (i.path("lifecycle").asText("")) {
            case "SERVING" -> MediaHost.State.ACTIVE;
            case "DRAINING" -> MediaHost.State.DRAINING;
            case "DELETED" -> MediaHost.State.GONE;
            default -> throw new Refused(at + "lifecycle: expected SERVING, DRAINING or DELETED");
        };
        double weight = i.path("weight").asDouble(1);
        check(weight > 0 && weight < 1e9, at + "weight: expected a number over 0");
        int cell = i.path("cell").asInt(-1);
        check(cell >= 0 && cell < cells, at + "cell: expected a cell of the fleet");
        String kind = i.path("machineType").asText("");
        check(kinds.contains(kind), at + "machineType: expected a kind of the fleet");
        long started = i.path("startedAtMs").asLong(0);
        check(started >= 0 && started < Long.MAX_VALUE / MS, at + "startedAtMs: expected a time");
        return new ListEntry(address(HostIds.of(name), i.path("hostPort").asText(""), at), state, weight, started * MS, cell,
            kind, i.path("zone").asText(""));
    }

    private static HostAddress address(long id, String text, String at) throws Refused {
        int colon = text.lastIndexOf(':');
        check(colon > 0 && text.substring(colon + 1).matches("[0-9]{1,5}"), at + "hostPort: expected address:port");
        int port = Integer.parseInt(text.substring(colon + 1));
        check(port > 0 && port < 65536, at + "hostPort: expected address:port");
        return new HostAddress(id, text.substring(0, colon), port);
    }

    private static void check(boolean right, String expected) throws Refused {
        if (!right) {
            throw new Refused(expected);
        }
    }
}
