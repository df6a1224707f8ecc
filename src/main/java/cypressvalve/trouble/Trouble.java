package cypressvalve.trouble;

import java.util.List;

/**
 * One trouble of a day; times in nanoseconds from the day's start.
 *
 * @param part share of the hosts, racks or gateways that it strikes
 * @param size how hard, in the unit of its kind (docs/rehearsal.md has the table)
 * @param extra a second size where the kind has one
 * @param only numbers of the hosts, racks or gateways that it strikes; empty where they are drawn by part
 */
public record Trouble(Kind kind, long at, long length, double part, double size, double extra, List<Integer> only) {
    /** What can go wrong. */
    public enum Kind {
        CRASH, SLOW, HANG, FAST_ERRORS, NEIGHBOUR, REPORT_LATE, BURST, HOT_KEY, DISCOVERY_STALE, BALANCER_CRASH,
        ORIGIN_SLOW, AGEING, ANSWER_LOST, DRAIN, LIST_EMPTY
    }

    /** How many hosts, racks or gateways of so many it can choose from; 0 if it strikes none of them. */
    public int of(int hosts, int racks, int gateways) {
        return switch (kind) {
            case ORIGIN_SLOW -> racks;
            case BALANCER_CRASH -> gateways;
            case BURST, HOT_KEY, DISCOVERY_STALE, LIST_EMPTY -> 0;
            default -> hosts;
        };
    }

    /** When it is over. */
    public long end() {
        return at + length;
    }
}
