package cypressvalve.standin;

import java.util.Collection;
import java.util.HashSet;
import java.util.Map;
import java.util.Random;
import java.util.Set;

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
    /** Transfers run so many times as fast as they play at most. */
    public static final double FASTEST = 4;
    /** How full links are at most with sessions that play before the day. */
    private static final double START_FULL = 0.7;

    /** A start: the share of its capacity that it has at first, how long it warms, and when it falls over. */
    public record Cold(long time, double share, double multiple, long window) { }

    /** Reports of load: where they are told, how often, how late; a note period of 0 tells no load unasked. */
    public record Reports(boolean inAnswers, boolean onProbe, long notePeriod, long noteDelay, double noise) { }

    /** A plan's rates over the ladder's, and the mean work of a set-up in nanoseconds of a core. */
    public record PlanSpec(double factor, long work) { }

    /** A playback that a host carries, whoever does the carrying. */
    public interface Carries {
        boolean playing();

        String title();

        String plan();

        int rung();

        /** Its true rates over the ladder's. */
        double factor();
    }

    private record Stream(String title, String plan, int rung) { }

    /** A playback's rate at a rung, kB a second. */
    public double rate(Carries c, int rung) {
        return ladder[rung] * plans.get(c.plan()).factor() * c.factor();
    }

    /** What all that play ask of the link, kB a second; those who share a stream add a share of it. */
    public double asked(Collection<? extends Carries> all) {
        Set<Stream> streams = new HashSet<>();
        double sum = 0;
        for (Carries c : all) {
            if (c.playing()) {
                boolean joins = live.get(c.title()) && !streams.add(new Stream(c.title(), c.plan(), c.rung()));
                sum += rate(c, c.rung()) * (joins ? joinShare : 1);
            }
        }
        return sum;
    }

    /** Draws a playback's true rates over the ladder's: a normal spread, cut at one and a half of it. */
    public double drawFactor(Random chance) {
        return 1 + vary * Math.max(-1.5, Math.min(1.5, chance.nextGaussian()));
    }

    /** Draws how long a core works on a set-up: a shifted exponential of the plan's mean over what cores give. */
    public long drawWork(String plan, double part, Random chance) {
        return (long) (plans.get(plan).work() / part * (0.25 + -0.75 * Math.log(1 - chance.nextDouble())));
    }

    /** Whether a session that plays before the day may begin here: links are to be part full at most. */
    public boolean roomAtStart(Collection<? extends Carries> all, String plan, int rung) {
        return all.size() < places && asked(all) + ladder[rung] * plans.get(plan).factor() < START_FULL * link;
    }
}
