package cypressvalve.load.source;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** A format directive made ready to read lines: fields with text between them. */
final class LineFormat {
    /** A field and the text after it, which may be empty at the line's end only. */
    private record Part(Slot slot, String after, boolean quoted, boolean escaped) { }

    /** Agents repeat by the thousand, and undoing escapes is dear; what is not remembered is only worked out again. */
    private static final int REMEMBERED = 4096;

    private final Map<String, String> undone = new HashMap<>();
    private final String before;
    private final List<Part> parts = new ArrayList<>();

    /**
     * @param pieces texts (String) and fields (Slot) in turn
     * @param escaped whether quoted fields have escapes
     * @throws IllegalArgumentException if lines of this format can't be read
     */
    LineFormat(List<Object> pieces, boolean escaped) {
        StringBuilder literal = new StringBuilder();
        String first = null;
        Slot open = null;
        for (Object piece : pieces) {
            if (piece instanceof String text) {
                literal.append(text);
            } else {
                if (first == null) {
                    first = literal.toString();
                } else {
                    if (literal.isEmpty()) {
                        throw new IllegalArgumentException("two fields with nothing between them");
                    }
                    add(open, literal.toString(), escaped, first);
                }
                literal.setLength(0);
                open = (Slot) piece;
            }
        }
        if (open == null) {
            throw new IllegalArgumentException("no field at all");
        }
        add(open, literal.toString(), escaped, first);
        before = first;
        if (parts.stream().noneMatch(p -> p.slot.time())) {
            throw new IllegalArgumentException("no field with the time");
        }
        if (parts.stream().noneMatch(p -> switch (p.slot.kind()) {
            case REQUEST, URI, PATH -> true;
            default -> false;
        })) {
            throw new IllegalArgumentException("no field with the request or its URI");
        }
    }

    private void add(Slot slot, String after, boolean escaped, String first) {
        String previous = parts.isEmpty() ? first : parts.get(parts.size() - 1).after;
        boolean quoted = previous.endsWith("\"") && after.startsWith("\"");
        parts.add(new Part(slot, after, quoted, escaped));
    }

    /** Reads a line whole or refuses it whole. */
    void read(String line, HitMaker to) throws BadLine {
        if (!line.startsWith(before)) {
            throw new BadLine(1, "'" + before + "'");
        }
        int from = before.length();
        for (Part part : parts) {
            int end = part.after.isEmpty() ? line.length() : part.quoted ? closing(line, from)
                : line.indexOf(part.after, from);
            if (end < 0 || !line.startsWith(part.after, end)) {
                throw new BadLine(end < 0 ? line.length() + 1 : end + 1, "'" + part.after + "' after "
                    + part.slot.kind().name().toLowerCase(java.util.Locale.ROOT).replace('_', ' '));
            }
            String value = line.substring(from, end);
            to.take(part.slot, part.escaped ? undone(value, from + 1) : value, from + 1);
            from = end + part.after.length();
        }
        if (from != line.length()) {
            throw new BadLine(from + 1, "the line's end");
        }
    }

    private String undone(String value, int column) throws BadLine {
        if (value.indexOf('\\') < 0) {
            return value;
        }
        String known = undone.get(value);
        if (known == null) {
            known = Escapes.undone(value, column);
            if (undone.size() >= REMEMBERED) {
                undone.clear();
            }
            undone.put(value, known);
        }
        return known;
    }

    /** The quote that ends a field; one after a backslash belongs to the text. */
    private static int closing(String line, int from) {
        for (int i = from; i < line.length(); i++) {
            char c = line.charAt(i);
            if (c == '\\') {
                i++;
            } else if (c == '"') {
                return i;
            }
        }
        return -1;
    }
}
