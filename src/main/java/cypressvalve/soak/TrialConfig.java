package cypressvalve.soak;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;

/** Writes the configuration of a trial's gateway from the template beside this class. */
public final class TrialConfig {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final String TEMPLATE = "/soak/gateway.json";
    /** The class whose requests must not run twice. */
    static final String ONCE = "b";
    /** Descriptors that a gateway may hold, as the template says. */
    static final int MAX_DESCRIPTORS = 512;
    /** Memory that a gateway may hold, as the template says. */
    static final int MAX_MEMORY_MEGABYTES = 192;
    private static final long NANOS_PER_MILLI = 1_000_000;

    private TrialConfig() {
    }

    /** Of a gateway of a trial. */
    static Path write(Path file, String name, CoordinatorEmulator coordinator, TrialPlan plan) throws IOException {
        return write(file, name, coordinator, plan.hosts(), plan.aimMillis(), plan.deadlineMillis(), plan.mayTestHosts());
    }

    /**
     * @param name the gateway's
     * @param coordinator tells the list as it is now
     * @param hostCount each holds every title
     * @param aimMillis how soon each class wants to play
     * @param deadlineMillis how long each class waits at most
     */
    public static Path write(Path file, String name, CoordinatorEmulator coordinator, int hostCount, long aimMillis,
        long deadlineMillis) throws IOException {
        return write(file, name, coordinator, hostCount, aimMillis, deadlineMillis, true);
    }

    /** @param mayTestHosts whether media hosts may be tested */
    static Path write(Path file, String name, CoordinatorEmulator coordinator, int hostCount, long aimMillis,
        long deadlineMillis, boolean mayTestHosts) throws IOException {
        try (InputStream template = TrialConfig.class.getResourceAsStream(TEMPLATE)) {
            ObjectNode config = (ObjectNode) JSON.readTree(template);
            config.put("name", name);
            config.put("coordinator", text(coordinator.address()));
            config.set("known", coordinator.known());
            ObjectNode settings = (ObjectNode) config.get("settings");
            ((ObjectNode) settings.get("familyInfo")).put("places", hostCount);
            settings.get("services").forEach(service -> ((ObjectNode) service).put("aimNs", aimMillis * NANOS_PER_MILLI)
                .put("giveUpNs", deadlineMillis * NANOS_PER_MILLI));
            settings.get("services").forEach(service -> ((ObjectNode) service).put("effect",
                service.get("name").asText().equals(ONCE) ? "once" : "repeatable"));
            ((ObjectNode) settings.get("limits")).put("probes", mayTestHosts);
            Path written = Files.write(file.resolveSibling(file.getFileName() + ".new"), JSON.writeValueAsBytes(config));
            return Files.move(written, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
        }
    }

    private static String text(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }
}
