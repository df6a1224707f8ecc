package cypressvalve.tape;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.BufferedReader;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.function.Consumer;

/** Reads a tape's file line by line. */
public final class TapeReader {
    private static final ObjectMapper JSON = new ObjectMapper();

    private TapeReader() {
    }

    /**
     * Hands on each record in the order of the file.
     *
     * @throws IOException if the file can't be read or a line is no record; the message names file and line
     */
    public static void read(Path path, Consumer<TapeRecord> to) throws IOException {
        try (BufferedReader in = Files.newBufferedReader(path, StandardCharsets.UTF_8)) {
            long number = 0;
            for (String line = in.readLine(); line != null; line = in.readLine()) {
                number++;
                to.accept(record(line, path + ":" + number));
            }
        }
    }

    @SuppressWarnings("unchecked")
    static TapeRecord record(String line, String where) throws IOException {
        JsonNode node;
        try {
            node = JSON.readTree(line);
        } catch (JsonProcessingException e) {
            throw new IOException(where + ": expected a JSON object");
        }
        if (node == null || !node.path("t").canConvertToLong() || !node.path("by").isTextual()
            || !node.path("kind").isTextual()) {
            throw new IOException(where + ": expected a record with t, by and kind");
        }
        Map<String, Object> fields = JSON.convertValue(node, Map.class);
        fields.remove("t");
        fields.remove("by");
        fields.remove("kind");
        return new TapeRecord(node.path("t").asLong(), node.path("by").asText(), node.path("kind").asText(), fields);
    }
}
