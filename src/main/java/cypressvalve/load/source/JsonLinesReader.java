package cypressvalve.load.source;

import com.fasterxml.jackson.core.JsonPointer;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.LinkedHashMap;
import java.util.Map;

/** One JSON object a line; a mapping says which member means what. */
final class JsonLinesReader implements LineReader {
    private static final ObjectMapper JSON = new ObjectMapper().enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS);

    private final Map<JsonPointer, Slot> slots = new LinkedHashMap<>();

    /** @param members meaning by member, its path with dots */
    JsonLinesReader(Map<String, Slot> members) {
        members.forEach((path, slot) -> slots.put(JsonPointer.compile("/" + path.replace('.', '/')), slot));
    }

    @Override
    public String read(String line, HitMaker to) throws BadLine {
        if (line.isBlank()) {
            return "empty line";
        }
        JsonNode node;
        try {
            node = JSON.readTree(line);
        } catch (JsonProcessingException e) {
            int column = e.getLocation() == null ? 1 : e.getLocation().getColumnNr();
            throw new BadLine(Math.max(1, column), "a JSON object");
        }
        if (!node.isObject()) {
            throw new BadLine(1, "a JSON object");
        }
        for (Map.Entry<JsonPointer, Slot> member : slots.entrySet()) {
            JsonNode value = node.at(member.getKey());
            if (value.isContainerNode()) {
                throw new BadLine(1, "a text or number as " + member.getKey());
            }
            if (!value.isMissingNode() && !value.isNull()) {
                to.take(member.getValue(), value.isNumber() ? value.decimalValue().toPlainString() : value.asText(), 1);
            }
        }
        return null;
    }
}
