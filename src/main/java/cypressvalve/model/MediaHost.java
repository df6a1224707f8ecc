package cypressvalve.model;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** A media host as the list tells of it, and what this gateway saw of it. */
public final class MediaHost {
    /** What the list says of it. */
    public enum State { ACTIVE, DRAINING, GONE }

    public final long id;
    public State state = State.ACTIVE;
    public double rating = 1;
    public long startedAt;
    /** Its link, kB a second, and the streams it runs at most, as the settings have them. */
    public double link = 1;
    public double places = 1;
    public int cell;
    public String kind = "";
    public String zone = "";

    public Rack rack;
    /** Until then it may be cold, whatever start is told. */
    public long coldUntil = Long.MIN_VALUE;
    /** When this gateway last saw it gone or unreachable, with no set-up done since. */
    public long failedAt = Long.MIN_VALUE;
    /** Times at which this gateway sent set-ups to it. */
    public final Samples sent = new Samples(64);
    /** Results of set-ups: 1 for a failure, 0 for a success. */
    public final Samples failures = new Samples(8);
    /** What was asked of its link over what the link gives, as told. */
    public final Samples load = new Samples(4);
    /** A number from 0 to 1 drawn with the last of these. */
    public double draw;
    /** What was asked for over what arrived, by the told share of delivery; 1 if nothing is short. */
    public final Samples asked = new Samples(4);
    /** What this gateway's own playbacks ask of it, kB a second. */
    public final Samples own = new Samples(128);
    /** When it last turned a set-up of this gateway away as full. */
    public long fullAt = Long.MIN_VALUE / 2;
    public long probedAt = Long.MIN_VALUE / 2;
    public boolean probeOut;
    /** Tries out or playing here. */
    public final List<SetupTry> carried = new ArrayList<>();
    /** How many of these are under their highest rung. */
    public int low;
    /** No more is wished here before that time, as long as the gateway's count of wishes stands. */
    public long quietWhile = -1;
    public long quietUntil;
    /** Till then, kB a second that the least wished step up would add; the largest number if there is none. */
    public double leastWish;

    public MediaHost(long id) {
        this.id = id;
    }

    /** Whether the playback would share a stream that is carried here at that rung. */
    public boolean joins(Playback pb, int rung) {
        List<Playback> there = on(pb, rung);
        return !there.isEmpty() && (there.size() > 1 || there.get(0) != pb);
    }

    /** Those carried here on the live stream of that playback's title and plan at that rung, as last tallied. */
    public List<Playback> on(Playback pb, int rung) {
        return pb.plan.live ? streams.getOrDefault(new Stream(pb.title, pb.plan, rung), List.of()) : List.of();
    }

    /** The playbacks that play here. */
    public List<Playback> playing() {
        List<Playback> all = new ArrayList<>(carried.size());
        for (SetupTry setupTry : carried) {
            if (setupTry.playback.playing) {
                all.add(setupTry.playback);
            }
        }
        return all;
    }

    /** How many play here on the stream of one that plays here, itself counted. */
    public int sharing(Playback pb) {
        int sharing = pb.plan.live ? 0 : 1;
        for (Playback other : on(pb, pb.rung)) {
            sharing += other.playing ? 1 : 0;
        }
        return sharing;
    }

    private record Stream(Title title, Plan plan, int rung) {
        @Override
        public int hashCode() {
            return (System.identityHashCode(title) * 31 + System.identityHashCode(plan)) * 31 + rung;
        }
    }

    /** Live streams and those carried on each, as of the last tally; only looked up in, never walked. */
    private final Map<Stream, List<Playback>> streams = new HashMap<>();

    /** Works out anew what the carried playbacks ask for; a joined one adds its share. */
    public void tally(long now, double joinShare) {
        double sum = 0;
        low = 0;
        streams.clear();
        for (SetupTry setupTry : carried) {
            Playback pb = setupTry.playback;
            List<Playback> stream = !pb.plan.live ? null : streams.computeIfAbsent(
                new Stream(pb.title, pb.plan, pb.rung), k -> new ArrayList<>(2));
            sum += pb.plan.rates[pb.rung] * (stream == null || stream.isEmpty() ? 1 : joinShare);
            if (stream != null) {
                stream.add(pb);
            }
            low += pb.rung < pb.highest() ? 1 : 0;
        }
        rack.own.set(now, rack.own.newest() + sum - own.newest());
        own.set(now, sum);
    }
}
