package cypressvalve.trouble;

/**
 * One trouble of a day; times in nanoseconds from the day's start.
 *
 * @param part share of the hosts, racks or gateways that it strikes
 * @param size how hard, in the unit of its kind (docs/rehearsal.md has the table)
 * @param extra a second size where the kind has one
 */
public record Trouble(Kind kind, long at, long length, double part, double size, double extra) {
    /** What can go wrong. */
    public enum Kind {
        CRASH, SLOW, HANG, FAST_ERRORS, NEIGHBOUR, REPORT_LATE, BURST, HOT_KEY, DISCOVERY_STALE, BALANCER_CRASH,
        ORIGIN_SLOW, AGEING, ANSWER_LOST, DRAIN, LIST_EMPTY
    }

    /** When it is over. */
    public long end() {
        return at + length;
    }
}
