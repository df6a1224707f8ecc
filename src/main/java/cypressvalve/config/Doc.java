package cypressvalve.config;

import com.fasterxml.jackson.core.JsonLocation;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.dataformat.yaml.YAMLFactory;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A YAML file read into a tree that knows the line of each value. Readers ask for what they expect; whatever does
 * not fit is collected, and {@link #verify()} refuses the file with all of it at once.
 */
public final class Doc {
    private static final YAMLFactory YAML = new YAMLFactory();
    private static final Pattern TIME = Pattern.compile("([0-9]+(?:\\.[0-9]+)?)(ns|us|ms|s|m|h)");
    private static final Map<String, Double> UNITS = Map.of("ns", 1.0, "us", 1e3, "ms", 1e6, "s", 1e9, "m", 6e10,
        "h", 3.6e12);

    private record Fault(int line, String text) { }

    private record Node(int line, String scalar, Map<String, Node> fields, List<Node> items) { }

    private final String name;
    private final List<Fault> faults = new ArrayList<>();
    private final Section root;

    private Doc(String name, String text) {
        this.name = name;
        Node top = null;
        try (JsonParser in = YAML.createParser(text)) {
            if (in.nextToken() != null) {
                top = node(in, "");
                if (in.nextToken() != null) {
                    fault(in.currentTokenLocation().getLineNr(), "", "one document, not several");
                }
            }
        } catch (JsonProcessingException e) {
            JsonLocation at = e.getLocation();
            faults.add(new Fault(at == null ? 1 : at.getLineNr(), "not YAML: "
                + e.getOriginalMessage().lines().findFirst().orElse("")));
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
        if (top != null && top.fields == null) {
            fault(top.line, "", "named fields");
        }
        boolean usable = top != null && top.fields != null;
        if (top == null && faults.isEmpty()) {
            fault(1, "", "named fields, not an empty file");
        }
        root = new Section("", usable ? top : new Node(1, null, new LinkedHashMap<>(), null));
    }

    /** Reads a file; one that can't be read is refused like one with a fault in line 1. */
    public static Doc read(Path file) {
        try {
            return parse(file.toString(), Files.readString(file, StandardCharsets.UTF_8));
        } catch (IOException e) {
            throw new BadSettings(List.of(file + ":1: cannot be read as UTF-8 text: " + e));
        }
    }

    /** Reads a text; the name stands before each fault. */
    public static Doc parse(String name, String text) {
        return new Doc(name, text);
    }

    /** The file's top level. */
    public Section root() {
        return root;
    }

    /** The name that stands before each fault. */
    public String name() {
        return name;
    }

    /**
     * Refuses the file if anything in it did not fit what was asked of it.
     *
     * @throws BadSettings with every fault, in the order of lines
     */
    public void verify() {
        root.unknown();
        if (!faults.isEmpty()) {
            throw new BadSettings(faults.stream().sorted((a, b) -> Integer.compare(a.line, b.line))
                .map(f -> name + ":" + f.line + ": " + f.text).distinct().toList());
        }
    }

    private void fault(int line, String field, String expected) {
        faults.add(new Fault(line, (field.isEmpty() ? "the file" : field) + ": expected " + expected));
    }

    private Node node(JsonParser in, String field) throws IOException {
        int line = in.currentTokenLocation().getLineNr();
        if (in.currentToken() == JsonToken.START_OBJECT) {
            Map<String, Node> fields = new LinkedHashMap<>();
            while (in.nextToken() != JsonToken.END_OBJECT) {
                String key = in.currentName();
                int at = in.currentTokenLocation().getLineNr();
                in.nextToken();
                String path = field.isEmpty() ? key : field + "." + key;
                if (fields.put(key, node(in, path)) != null) {
                    fault(at, path, "to be given once");
                }
            }
            return new Node(line, null, fields, null);
        }
        if (in.currentToken() == JsonToken.START_ARRAY) {
            List<Node> items = new ArrayList<>();
            while (in.nextToken() != JsonToken.END_ARRAY) {
                items.add(node(in, field + "[" + items.size() + "]"));
            }
            return new Node(line, null, null, items);
        }
        return new Node(line, in.currentToken() == JsonToken.VALUE_NULL ? "" : in.getText(), null, null);
    }

    /** A group of named fields. Each call that reads a field marks it as known; the rest are faults. */
    public final class Section {
        private final String path;
        private final Node node;
        private final Set<String> known = new LinkedHashSet<>();
        private final List<Section> children = new ArrayList<>();

        private Section(String path, Node node) {
            this.path = path;
            this.node = node;
        }

        private String field(String key) {
            return path.isEmpty() ? key : path + "." + key;
        }

        /** The line on which this group begins. */
        public int line() {
            return node.line;
        }

        /** Whether the field is there; does not mark it as known. */
        public boolean has(String key) {
            return node.fields.containsKey(key);
        }

        /** The names of all fields, marked as known. */
        public Set<String> keys() {
            known.addAll(node.fields.keySet());
            return node.fields.keySet();
        }

        /** Notes a fault at a field, for checks that span several. */
        public void wrong(String key, String expected) {
            Node at = node.fields.get(key);
            fault(at == null ? node.line : at.line, field(key), expected);
        }

        private <T> T scalar(String key, T otherwise, boolean needed, String expected, Function<String, T> read) {
            known.add(key);
            Node at = node.fields.get(key);
            if (at == null) {
                if (needed) {
                    fault(node.line, field(key), expected + ", but it is missing");
                }
                return otherwise;
            }
            return value(at, field(key), otherwise, expected, read);
        }

        private <T> T value(Node at, String field, T otherwise, String expected, Function<String, T> read) {
            T value = null;
            if (at.scalar != null && !at.scalar.isEmpty()) {
                try {
                    value = read.apply(at.scalar);
                } catch (IllegalArgumentException e) {
                    value = null;
                }
            }
            if (value == null) {
                fault(at.line, field, expected + (at.scalar == null ? "" : ", not '" + at.scalar + "'"));
                return otherwise;
            }
            return value;
        }

        /** A text that must be there. */
        public String text(String key) {
            return scalar(key, "", true, "a text", s -> s);
        }

        /** A text that may be left out. */
        public String text(String key, String otherwise) {
            return scalar(key, otherwise, false, "a text", s -> s);
        }

        /** One of the named constants, written in lower case with hyphens. */
        public <E extends Enum<E>> E choice(String key, Class<E> type, E otherwise) {
            List<String> names = java.util.Arrays.stream(type.getEnumConstants()).map(Doc::name).toList();
            return scalar(key, otherwise, otherwise == null, "one of " + String.join(", ", names),
                s -> names.contains(s) ? type.getEnumConstants()[names.indexOf(s)] : null);
        }

        /** A whole number within bounds that must be there. */
        public long whole(String key, long least, long most) {
            return scalar(key, least, true, wholeWords(least, most), s -> wholeIn(s, least, most));
        }

        /** A whole number within bounds that may be left out. */
        public long whole(String key, long least, long most, long otherwise) {
            return scalar(key, otherwise, false, wholeWords(least, most), s -> wholeIn(s, least, most));
        }

        /** A number within bounds that must be there. */
        public double real(String key, double least, double most) {
            return scalar(key, least, true, realWords(least, most), s -> realIn(s, least, most));
        }

        /** A number within bounds that may be left out. */
        public double real(String key, double least, double most, double otherwise) {
            return scalar(key, otherwise, false, realWords(least, most), s -> realIn(s, least, most));
        }

        /** A flag, true or false. */
        public boolean flag(String key, boolean otherwise) {
            return scalar(key, otherwise, false, "true or false",
                s -> s.equals("true") || s.equals("false") ? Boolean.valueOf(s) : null);
        }

        /** A time such as 500ms, in nanoseconds, that must be there. */
        public long time(String key) {
            return scalar(key, 0L, true, "a time such as 500ms or 2s", Doc::nanos);
        }

        /** A time in nanoseconds that may be left out. */
        public long time(String key, long otherwise) {
            return scalar(key, otherwise, false, "a time such as 500ms or 2s", Doc::nanos);
        }

        /** Numbers within bounds, one at least. */
        public double[] reals(String key, double least, double most) {
            known.add(key);
            Node at = node.fields.get(key);
            if (at == null || at.items == null || at.items.isEmpty()) {
                fault(at == null ? node.line : at.line, field(key), "a list of numbers");
                return new double[] {least};
            }
            double[] values = new double[at.items.size()];
            for (int i = 0; i < values.length; i++) {
                values[i] = value(at.items.get(i), field(key) + "[" + i + "]", least, realWords(least, most),
                    s -> realIn(s, least, most));
            }
            return values;
        }

        /** Texts; an absent list is empty. */
        public List<String> texts(String key) {
            known.add(key);
            Node at = node.fields.get(key);
            List<String> values = new ArrayList<>();
            if (at != null && at.items == null) {
                fault(at.line, field(key), "a list of texts");
            } else if (at != null) {
                for (int i = 0; i < at.items.size(); i++) {
                    values.add(value(at.items.get(i), field(key) + "[" + i + "]", "", "a text", s -> s));
                }
            }
            return values;
        }

        /** A group that must be there; where it is not, an empty one stands in after the fault is noted. */
        public Section section(String key) {
            if (!has(key)) {
                fault(node.line, field(key), "a group of fields, but it is missing");
            }
            return optional(key);
        }

        /** A group that may be left out: then an empty one, whose fields take their defaults. */
        public Section optional(String key) {
            known.add(key);
            Node at = node.fields.get(key);
            if (at != null && at.fields == null && !"".equals(at.scalar)) {
                fault(at.line, field(key), "a group of fields");
            }
            Node group = at != null && at.fields != null ? at
                : new Node(at == null ? node.line : at.line, null, new LinkedHashMap<>(), null);
            return child(field(key), group);
        }

        /** The groups of a list; an absent list is empty. */
        public List<Section> sections(String key) {
            known.add(key);
            Node at = node.fields.get(key);
            List<Section> groups = new ArrayList<>();
            if (at != null && at.items == null && !"".equals(at.scalar)) {
                fault(at.line, field(key), "a list of groups");
            } else if (at != null && at.items != null) {
                for (int i = 0; i < at.items.size(); i++) {
                    Node item = at.items.get(i);
                    String where = field(key) + "[" + i + "]";
                    if (item.fields == null) {
                        fault(item.line, where, "a group of fields");
                    } else {
                        groups.add(child(where, item));
                    }
                }
            }
            return groups;
        }

        private Section child(String where, Node group) {
            Section child = new Section(where, group);
            children.add(child);
            return child;
        }

        private void unknown() {
            node.fields.forEach((key, at) -> {
                if (!known.contains(key)) {
                    faults.add(new Fault(at.line, field(key) + ": no such field; expected one of "
                        + String.join(", ", known)));
                }
            });
            children.forEach(Section::unknown);
        }
    }

    private static String name(Enum<?> constant) {
        return constant.name().toLowerCase(java.util.Locale.ROOT).replace('_', '-');
    }

    private static String wholeWords(long least, long most) {
        return most == Long.MAX_VALUE ? "a whole number of " + least + " or more"
            : "a whole number from " + least + " to " + most;
    }

    private static String realWords(double least, double most) {
        return most == Double.MAX_VALUE ? "a number of " + least + " or more"
            : "a number from " + least + " to " + most;
    }

    private static Long wholeIn(String s, long least, long most) {
        long value = Long.parseLong(s);
        return value < least || value > most ? null : Long.valueOf(value);
    }

    private static Double realIn(String s, double least, double most) {
        double value = Double.parseDouble(s);
        return value >= least && value <= most ? Double.valueOf(value) : null;
    }

    /** Nanoseconds of a text such as 1.5s, or null. */
    private static Long nanos(String s) {
        Matcher m = TIME.matcher(s);
        if (!m.matches()) {
            return null;
        }
        double ns = Double.parseDouble(m.group(1)) * UNITS.get(m.group(2));
        return ns < Long.MAX_VALUE / 4.0 ? (long) ns : null;
    }
}
