package cypressvalve.load.source;

/**
 * What one line of a source is: a request, a line that asks for nothing, or a bad one.
 *
 * @param hit the request, or null
 * @param column of what is wrong with a bad line, 0 otherwise
 * @param reason why it asks for nothing, or what was expected of a bad line
 */
public record Item(Hit hit, int file, long line, int column, String reason) {
    static Item of(Hit hit) {
        return new Item(hit, hit.file(), hit.line(), 0, "");
    }

    static Item aside(int file, long line, String reason) {
        return new Item(null, file, line, 0, reason);
    }

    static Item bad(int file, long line, BadLine why) {
        return new Item(null, file, line, Math.max(1, why.column()), why.getMessage());
    }

    /** Whether the line is none of its format. */
    public boolean bad() {
        return hit == null && column > 0;
    }
}
