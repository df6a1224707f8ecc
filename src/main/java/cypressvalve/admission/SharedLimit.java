package cypressvalve.admission;

/**
 * A limit that many holders share by dynamic thresholds: each may hold at most a multiple of what is free at the moment. Whoever holds
 * much meets its own threshold while there is room left for all who hold little, however many hold much. Free of I/O and clocks.
 *
 * <p>Source: A. K. Choudhury and E. L. Hahne, "Dynamic queue length thresholds for shared-memory packet switches", IEEE/ACM
 * Transactions on Networking 6(2), 1998.
 */
public final class SharedLimit {
    /** A single holder may take two thirds of the whole; two take four fifths together. */
    private static final long MULTIPLE_OF_FREE = 2;
    /** Far more than is ever held, and small enough to be multiplied. */
    private static final long UNLIMITED = Long.MAX_VALUE / 4;

    private final long most;
    private long held;

    /** @param most what all holders may hold together, in their unit */
    public SharedLimit(long most) {
        this.most = Math.min(most, UNLIMITED);
    }

    /** A limit that nobody meets. */
    public static SharedLimit unlimited() {
        return new SharedLimit(UNLIMITED);
    }

    /** Whether one that holds so much may take more. */
    public boolean admits(long own, long more) {
        return isWithinShare(own + more, free() - more);
    }

    /** Whether one may keep what it holds, which is counted already. */
    public boolean allows(long own) {
        return isWithinShare(own, free());
    }

    private static boolean isWithinShare(long own, long free) {
        return free >= 0 && own <= MULTIPLE_OF_FREE * free;
    }

    /** Counts what a holder has taken; below 0 what it has given back. */
    public void add(long amount) {
        held += amount;
    }

    /** What all hold together. */
    public long held() {
        return held;
    }

    private long free() {
        return most - held;
    }
}
