package cypressvalve.standin;

import java.util.Map;

/**
 * A media host as the day's script has it. Times are nanoseconds, rates kB (1,000 bytes) a second.
 *
 * @param link true rate of its link, which the list's weight tells only roughly
 * @param places streams that it runs or sets up at most
 * @param cores set-ups that are worked on at once
 * @param queue set-ups that wait for a core at most; one more is turned away unseen
 * @param vary spread of true rates round the ladder's, as a part
 * @param lease time without a segment after which a session's place is free again
 */
public record HostSpec(int id, double link, int places, int cores, int queue, double[] ladder, double joinShare,
    double vary, long segment, long lease, Cold cold, Reports reports, Map<String, PlanSpec> plans,
    Map<String, Boolean> live, long seed) {

    /** A start: the share of its capacity that it has at first, how long it warms, and when it falls over. */
    public record Cold(long time, double share, double multiple, long window) { }

    /** Reports of load: where they are told, how often, how late; a note period of 0 tells no load unasked. */
    public record Reports(boolean inAnswers, boolean onProbe, long notePeriod, long noteDelay, double noise) { }

    /** A plan's rates over the ladder's, and the mean work of a set-up in nanoseconds of a core. */
    public record PlanSpec(double factor, long work) { }
}
