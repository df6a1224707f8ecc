package cypressvalve.fleet.membership;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import cypressvalve.fleet.ListEntry;
import cypressvalve.host.HostAddress;
import cypressvalve.model.MediaHost;
import java.net.URI;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** One version of the list as it came, checked whole: a version with any fault in it is refused whole. */
public record ListVersion(long version, boolean whole, List<ListEntry> entries) {
    private static final ObjectMapper JSON = new ObjectMapper();

    /** Why a version was refused: the entry and what was expected. */
    public static final class Refused extends Exception {
        private static final long serialVersionUID = 1;

        Refused(String why) {
            super(why);
        }
    }

    /**
     * Reads the JSON text of one version.
     *
     * @param cells how many cells the fleet has; an entry's cell lies under it
     */
    public static ListVersion read(String text, int cells, Set<String> kinds) throws Refused {
        JsonNode all;
        try {
            all = JSON.readTree(text);
        } catch (JsonProcessingException e) {
            throw new Refused("not JSON");
        }
        if (!all.path("version").canConvertToLong() || !all.path("whole").isBoolean() || !all.path("hosts").isArray()) {
            throw new Refused("expected version, whole and hosts");
        }
        List<ListEntry> entries = new ArrayList<>();
        Set<Long> ids = new HashSet<>();
        for (JsonNode host : all.path("hosts")) {
            ListEntry entry = entry(host, "hosts[" + entries.size() + "]", cells, kinds);
            if (!ids.add(entry.address().id())) {
                throw new Refused("hosts[" + entries.size() + "].id: expected an id that no other entry has");
            }
            entries.add(entry);
        }
        return new ListVersion(all.path("version").asLong(), all.path("whole").asBoolean(), entries);
    }

    private static ListEntry entry(JsonNode h, String at, int cells, Set<String> kinds) throws Refused {
        check(h.path("id").canConvertToLong() && h.path("id").asLong() >= 0, at + ".id: expected a whole number");
        MediaHost.State state = switch (h.path("state").asText("")) {
            case "active" -> MediaHost.State.ACTIVE;
            case "draining" -> MediaHost.State.DRAINING;
            case "gone" -> MediaHost.State.GONE;
            default -> throw new Refused(at + ".state: expected active, draining or gone");
        };
        double weight = h.path("weight").asDouble(Double.NaN);
        check(weight > 0 && weight < 1e9, at + ".weight: expected a number over 0");
        int cell = h.path("cell").asInt(-1);
        check(h.path("cell").isInt() && cell >= 0 && cell < cells, at + ".cell: expected a cell of the fleet");
        check(kinds.contains(h.path("kind").asText("")), at + ".kind: expected a kind of the fleet");
        long started = h.path("startedAt").asLong(0);
        check(started >= 0, at + ".startedAt: expected nanoseconds since 1970");
        return new ListEntry(address(h, at), state, weight, started, cell, h.path("kind").asText(),
            h.path("zone").asText(""));
    }

    private static HostAddress address(JsonNode h, String at) throws Refused {
        try {
            URI uri = URI.create(h.path("uri").asText(""));
            check("http".equals(uri.getScheme()) && uri.getHost() != null && uri.getPort() > 0,
                at + ".uri: expected http://host:port");
            return new HostAddress(h.path("id").asLong(), uri.getHost(), uri.getPort());
        } catch (IllegalArgumentException e) {
            throw new Refused(at + ".uri: expected http://host:port");
        }
    }

    private static void check(boolean right, String expected) throws Refused {
        if (!right) {
            throw new Refused(expected);
        }
    }

    /** Whether this version may be taken after that one (below 0: none yet); a change must follow a known list. */
    public boolean follows(long last) {
        return whole ? version >= last : last >= 0 && version > last;
    }
}
