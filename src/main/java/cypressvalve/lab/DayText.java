package cypressvalve.lab;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.databind.node.TextNode;
import com.fasterxml.jackson.dataformat.yaml.YAMLMapper;
import java.util.List;
import java.util.Map;

/** A day's script as text, with fields of it changed before it is read and checked like any other. */
public final class DayText {
    private static final YAMLMapper YAML = new YAMLMapper();

    private DayText() {
    }

    /**
     * The text with values put in at their paths, such as hosts.count.
     *
     * @param faults takes a line for each path that the day has no group for
     */
    public static String with(String text, Map<String, String> settings, List<String> faults) {
        if (settings.isEmpty()) {
            return text;
        }
        try {
            JsonNode root = YAML.readTree(text);
            settings.forEach((path, value) -> {
                String[] parts = path.split("\\.");
                JsonNode at = root;
                for (int i = 0; i < parts.length - 1; i++) {
                    // A number in a path names a row of a list, from 0.
                    at = at.isArray() && parts[i].matches("[0-9]{1,6}") ? at.path(Integer.parseInt(parts[i]))
                        : at.path(parts[i]);
                }
                if (at instanceof ObjectNode group) {
                    group.set(parts[parts.length - 1], TextNode.valueOf(value));
                } else {
                    faults.add("set." + path + ": expected a field in a group that the day has");
                }
            });
            return YAML.writeValueAsString(root);
        } catch (JsonProcessingException e) {
            return text; // Told as a fault of the day, with its line, when it is read.
        }
    }

    /** The text with other troubles in place of its own. */
    public static String troubles(String text, List<? extends Map<String, ?>> troubles) {
        try {
            JsonNode root = YAML.readTree(text);
            if (root instanceof ObjectNode all) {
                all.set("troubles", YAML.valueToTree(troubles));
            }
            return YAML.writeValueAsString(root);
        } catch (JsonProcessingException e) {
            return text;
        }
    }
}
