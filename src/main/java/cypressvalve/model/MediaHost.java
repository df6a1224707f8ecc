package cypressvalve.model;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

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
    public long probedAt = Long.MIN_VALUE / 2;
    public boolean probeOut;
    /** Tries out or playing here. */
    public final List<SetupTry> carried = new ArrayList<>();
    /** How many of these are under their highest rung. */
    public int low;
    /** Nothing here wants a step up before that time, as long as the gateway's count of wishes stands. */
    public long quietWhile = -1;
    public long quietUntil;

    public MediaHost(long id) {
        this.id = id;
    }

    /** Whether the playback would share a stream that is carried here at that rung. */
    public boolean joins(Playback pb, int rung) {
        for (int i = 0; i < carried.size() && pb.plan.live; i++) {
            Playback other = carried.get(i).playback;
            if (other != pb && other.title == pb.title && other.plan == pb.plan && other.rung == rung) {
                return true;
            }
        }
        return false;
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
        for (int i = 0; i < carried.size() && pb.plan.live; i++) {
            Playback other = carried.get(i).playback;
            sharing += other.playing && other.title == pb.title && other.plan == pb.plan && other.rung == pb.rung
                ? 1 : 0;
        }
        return sharing;
    }

    private record Stream(Title title, Plan plan, int rung) { }

    /** Works out anew what the carried playbacks ask for; a joined one adds its share. */
    public void tally(long now, double joinShare) {
        double sum = 0;
        low = 0;
        Set<Stream> streams = carried.size() > 1 ? new HashSet<>() : null;
        for (SetupTry setupTry : carried) {
            Playback pb = setupTry.playback;
            boolean joins = pb.plan.live && streams != null && !streams.add(new Stream(pb.title, pb.plan, pb.rung));
            sum += pb.plan.rates[pb.rung] * (joins ? joinShare : 1);
            low += pb.rung < pb.highest() ? 1 : 0;
        }
        rack.own.set(now, rack.own.newest() + sum - own.newest());
        own.set(now, sum);
    }
}
