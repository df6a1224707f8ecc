package cypressvalve.load.source;

/** A line that is not what its format says, as a whole. */
public final class BadLine extends Exception {
    private static final long serialVersionUID = 1;

    private final int column;

    /**
     * @param column where it goes wrong, from 1
     * @param expected what should stand there
     */
    public BadLine(int column, String expected) {
        super(expected, null, false, false); // Without a stack: a log may hold a million of these.
        this.column = column;
    }

    /** Where the line goes wrong, from 1. */
    public int column() {
        return column;
    }
}
