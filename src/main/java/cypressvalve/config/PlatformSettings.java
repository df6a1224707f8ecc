package cypressvalve.config;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import cypressvalve.model.Settings;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/**
 * What the platform tells one gateway at its start, in a JSON file. Times are nanoseconds.
 *
 * @param memoryMb the limit on what its processes hold, in MB
 * @param sockets the limit on file descriptors
 * @param known the list of media hosts so far, as the coordinator tells it
 * @param control the settings of decisions
 * @param shares each tenant's share, by its number in the settings
 * @param idle after which idle connections to media hosts close
 * @param connectTimeout after which a connection that is not established counts as none
 * @param longestDeadline the longest that a client of any class waits for its answer
 * @param streams set-ups that one connection to a media host carries at once
 */
public record PlatformSettings(String name, InetSocketAddress listen, long seed, int memoryMb, int sockets,
    InetSocketAddress coordinator, JsonNode known, Settings control, double[] shares, long idle, long connectTimeout,
    long longestDeadline, int streams) {
    private static final ObjectMapper JSON = new ObjectMapper();

    /**
     * Reads the file.
     *
     * @param listen stands for the file's own, null if there is none
     */
    public static PlatformSettings read(Path file, String listen) {
        JsonNode all;
        try {
            all = JSON.readTree(Files.readAllBytes(file));
        } catch (JsonProcessingException e) {
            throw bad(file, "not JSON");
        } catch (IOException e) {
            throw bad(file, "expected a file that can be read: " + e.getClass().getSimpleName());
        }
        return read(file, all, listen);
    }

    private static PlatformSettings read(Path file, JsonNode all, String listen) {
        JsonNode settings = all.path("settings");
        Settings control;
        try {
            control = SettingsReader.read(settings);
        } catch (BadSettings e) {
            throw bad(file, "settings: " + e.getMessage());
        }
        String seed = all.path("seed").asText("");
        if (!seed.matches("[0-9a-fA-F]{1,16}")) {
            throw bad(file, "seed: expected up to 16 hex digits");
        }
        JsonNode tenants = settings.path("tenants");
        double[] shares = new double[tenants.size()];
        for (int i = 0; i < shares.length; i++) {
            shares[i] = tenants.get(i).path("share").asDouble(1);
        }
        JsonNode limits = settings.path("limits");
        return new PlatformSettings(all.path("name").asText(""),
            address(file, "listen", listen != null ? listen : all.path("listen").asText("")),
            Long.parseUnsignedLong(seed, 16), whole(file, all, "memory_mb"), whole(file, all, "sockets"),
            address(file, "coordinator", all.path("coordinator").asText("")), all.path("known"), control, shares,
            limits.path("connIdleNs").asLong(15_000_000_000L), limits.path("connectTimeoutNs").asLong(250_000_000L),
            longestDeadline(settings.path("services")), limits.path("streamsPerConn").asInt(1));
    }

    private static long longestDeadline(JsonNode services) {
        long longest = 0;
        for (JsonNode service : services) {
            longest = Math.max(longest, service.path("giveUpNs").asLong(Long.MAX_VALUE));
        }
        return longest;
    }

    private static int whole(Path file, JsonNode all, String key) {
        int value = all.path("limits").path(key).asInt(0);
        if (value < 1) {
            throw bad(file, "limits." + key + ": expected a number over 0");
        }
        return value;
    }

    private static InetSocketAddress address(Path file, String key, String text) {
        int colon = text.lastIndexOf(':');
        if (colon <= 0 || !text.substring(colon + 1).matches("[0-9]{1,5}") || !text.substring(0, colon).matches("[0-9.]+")
            || Integer.parseInt(text.substring(colon + 1)) > 65535) {
            throw bad(file, key + ": expected address:port");
        }
        return new InetSocketAddress(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
    }

    private static BadSettings bad(Path file, String what) {
        return new BadSettings(List.of(file + ": " + what));
    }
}
