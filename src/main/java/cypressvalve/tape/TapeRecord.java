package cypressvalve.tape;

import java.util.Map;

/**
 * One line of a tape.
 *
 * @param t nanoseconds since 1970
 * @param by whose socket or deed it was
 */
public record TapeRecord(long t, String by, String kind, Map<String, Object> fields) {
    /** A field's text, empty if it is not there. */
    public String text(String name) {
        Object value = fields.get(name);
        return value == null ? "" : value.toString();
    }

    /** A field's number, 0 if it is not there. */
    public double number(String name) {
        return fields.get(name) instanceof Number n ? n.doubleValue() : 0;
    }

    /** A field's whole number, 0 if it is not there. */
    public long whole(String name) {
        return fields.get(name) instanceof Number n ? n.longValue() : 0;
    }

    /** Whether a flag is set. */
    public boolean flag(String name) {
        return Boolean.TRUE.equals(fields.get(name));
    }

    /** Whether the record is of that writer and kind. */
    public boolean is(String writer, String what) {
        return by.equals(writer) && kind.equals(what);
    }
}
