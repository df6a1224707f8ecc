package cypressvalve.load.map;

import cypressvalve.config.Doc;
import java.util.LinkedHashMap;
import java.util.Map;

/** A table from what a source says to names of the service; what is not in it becomes the default or is set aside. */
record Names(Map<String, String> table, String otherwise) {
    static Names read(Doc.Section s) {
        Map<String, String> table = new LinkedHashMap<>();
        Doc.Section t = s.optional("table");
        for (String key : t.keys()) {
            table.put(key, t.text(key));
        }
        return new Names(table, s.text("default", ""));
    }

    /** The name, or null where it is unknown and no default stands in. */
    String of(String told) {
        String name = table.isEmpty() ? told : table.getOrDefault(told, "");
        return !name.isEmpty() ? name : otherwise.isEmpty() ? null : otherwise;
    }
}
