package cypressvalve.soak;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/** Writes the configuration of a trial's gateway from the template beside this class. */
public final class TrialConfig {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final String TEMPLATE = "/soak/gateway.json";
    private static final long NANOS_PER_MILLI = 1_000_000;

    private TrialConfig() {
    }

    /**
     * @param hosts each holds every title
     * @param aimMillis how soon each class wants to play
     * @param deadlineMillis how long each class waits at most
     */
    public static Path write(Path file, CoordinatorEmulator coordinator, List<MediaHostEmulator> hosts, long aimMillis,
        long deadlineMillis) throws IOException {
        try (InputStream template = TrialConfig.class.getResourceAsStream(TEMPLATE)) {
            ObjectNode config = (ObjectNode) JSON.readTree(template);
            config.put("coordinator", text(coordinator.address()));
            ArrayNode instances = config.putObject("known").put("index", 1).putArray("updates").addObject()
                .put("generation", 1).put("reset", true).putArray("instances");
            for (int i = 0; i < hosts.size(); i++) {
                instances.addObject().put("instanceId", hosts.get(i).name()).put("hostPort", text(hosts.get(i).address()))
                    .put("zone", "z").put("machineType", "std").put("cell", i).put("lifecycle", "SERVING").put("weight", 1)
                    .put("startedAtMs", 0);
            }
            ObjectNode settings = (ObjectNode) config.get("settings");
            ((ObjectNode) settings.get("familyInfo")).put("places", hosts.size());
            settings.get("services").forEach(service -> ((ObjectNode) service).put("aimNs", aimMillis * NANOS_PER_MILLI)
                .put("giveUpNs", deadlineMillis * NANOS_PER_MILLI));
            return Files.write(file, JSON.writeValueAsBytes(config));
        }
    }

    private static String text(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }
}
