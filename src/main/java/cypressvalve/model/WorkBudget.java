package cypressvalve.model;

/** How much may be gone through in a span of time, in pieces; the first piece of a span goes through whatever its size. */
public final class WorkBudget {
    private final int most;
    private final long span;
    private long since = Long.MIN_VALUE / 2;
    private int taken;

    /**
     * @param most taken in a span
     * @param span nanoseconds
     */
    public WorkBudget(int most, long span) {
        this.most = most;
        this.span = span;
    }

    /** Whether a piece of that size may be gone through now; if so it is counted. */
    public boolean take(int size, long now) {
        if (now - since >= span) {
            since = now;
            taken = 0;
        }
        boolean may = taken == 0 || taken + size <= most;
        taken += may ? size : 0;
        return may;
    }
}
