package cypressvalve.model;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
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
    /** When it last turned a set-up of this gateway away as full. */
    public long fullAt = Long.MIN_VALUE / 2;
    public long probedAt = Long.MIN_VALUE / 2;
    public boolean probeOut;
    /** No more is wished here before that time, as long as the gateway's count of wishes stands. */
    public long quietWhile = -1;
    public long quietUntil;
    /** Till then, kB a second that the least wished step up would add; the largest number if there is none. */
    public double leastWish;

    public MediaHost(long id) {
        this.id = id;
    }

    /** Tries that are out or play here. */
    private final Set<SetupTry> carried = new LinkedHashSet<>();
    /** How many of these play. */
    private int playing;
    /** How many of these are under their highest rung. */
    private int low;
    /** Live streams and those carried on each; only looked up in, never walked. */
    private final Map<Stream, Sharers> streams = new HashMap<>();
    /** What is carried, by plan and rung, in the order in which plans came: sums of it don't hang on what came between. */
    private final Map<Plan, RungCounts> counts = new LinkedHashMap<>();

    private record Stream(Title title, Plan plan, int rung) {
        @Override
        public int hashCode() {
            return (System.identityHashCode(title) * 31 + System.identityHashCode(plan)) * 31 + rung;
        }
    }

    /** Those on one live stream. */
    private static final class Sharers {
        private final Set<Playback> members = new LinkedHashSet<>();
        private int playing;
    }

    /** Of one plan, by rung: streams, and playbacks that join one. */
    private static final class RungCounts {
        private final int[] streams;
        private final int[] joined;

        private RungCounts(int rungs) {
            streams = new int[rungs];
            joined = new int[rungs];
        }
    }

    /** Whether it has started, or may have, less than that time ago. */
    public boolean mayBeCold(long now, long coldTime) {
        return failedAt > startedAt || now < coldUntil || startedAt > 0 && now < startedAt + coldTime;
    }

    /** The part of set-ups since then that failed, as if one more had not: one alone says little. */
    public double failureShare(long since) {
        int results = failures.since(since);
        double failed = 0;
        for (int i = 0; i < results; i++) {
            failed += failures.value(i);
        }
        return failed / (results + 1);
    }

    /** Whether anything is carried here. */
    public boolean carries() {
        return !carried.isEmpty();
    }

    /** How many are carried here. */
    public int load() {
        return carried.size();
    }

    /** Whether a try is out here, which does not play yet. */
    public boolean hasTryOut() {
        return carried.size() > playing;
    }

    /** Whether one is carried here that is under its highest rung. */
    public boolean mayWantUp() {
        return low > 0;
    }

    /** A set-up leaves for this host, or a session is known to stand here. */
    public void carry(SetupTry setupTry) {
        if (carried.add(setupTry)) {
            setupTry.playback.title.taken(setupTry.playback.plan, 1);
            count(setupTry.playback, 1);
        }
    }

    /** It is over. */
    public void drop(SetupTry setupTry) {
        if (carried.remove(setupTry)) {
            setupTry.playback.title.taken(setupTry.playback.plan, -1);
            count(setupTry.playback, -1);
            countPlaying(setupTry.playback, setupTry.playback.playing ? -1 : 0);
        }
    }

    /** A playback that is carried here begins to play. */
    public void begin(Playback pb) {
        pb.playing = true;
        countPlaying(pb, 1);
    }

    /** The playback has that rung from now on. */
    public void setRung(Playback pb, int rung) {
        boolean counted = rung != pb.rung && carried.contains(pb.lastTry());
        if (counted) {
            count(pb, -1);
            countPlaying(pb, pb.playing ? -1 : 0);
        }
        pb.rung = rung;
        if (counted) {
            count(pb, 1);
            countPlaying(pb, pb.playing ? 1 : 0);
        }
    }

    private void count(Playback pb, int more) {
        RungCounts ofPlan = counts.computeIfAbsent(pb.plan, plan -> new RungCounts(plan.rates.length));
        int[] streamsOrJoined = pb.plan.live && share(pb, more) > 1 ? ofPlan.joined : ofPlan.streams;
        streamsOrJoined[pb.rung] += more;
        low += pb.rung < pb.highest() ? more : 0;
    }

    /** Has the playback join its stream, or leave it; returns how many are on it with the playback. */
    private int share(Playback pb, int more) {
        Stream stream = new Stream(pb.title, pb.plan, pb.rung);
        Sharers sharers = streams.computeIfAbsent(stream, k -> new Sharers());
        if (more > 0) {
            sharers.members.add(pb);
            return sharers.members.size();
        }
        int before = sharers.members.size();
        sharers.members.remove(pb);
        if (sharers.members.isEmpty()) {
            streams.remove(stream);
        }
        return before;
    }

    private void countPlaying(Playback pb, int more) {
        playing += more;
        Sharers sharers = streams.get(new Stream(pb.title, pb.plan, pb.rung));
        if (sharers != null) {
            sharers.playing += more;
        }
    }

    /** Whether the playback would share a stream that is carried here at that rung. */
    public boolean joins(Playback pb, int rung) {
        Collection<Playback> there = on(pb, rung);
        return !there.isEmpty() && (there.size() > 1 || !there.contains(pb));
    }

    /** Those carried here on the live stream of that playback's title and plan at that rung. */
    public Collection<Playback> on(Playback pb, int rung) {
        Sharers sharers = sharers(pb, rung);
        return sharers == null ? List.of() : sharers.members;
    }

    private Sharers sharers(Playback pb, int rung) {
        return pb.plan.live ? streams.get(new Stream(pb.title, pb.plan, rung)) : null;
    }

    /** The playbacks that play here. */
    public List<Playback> playing() {
        List<Playback> all = new ArrayList<>(playing);
        for (SetupTry setupTry : carried) {
            if (setupTry.playback.playing) {
                all.add(setupTry.playback);
            }
        }
        return all;
    }

    /** How many play here on the stream of one that plays here, itself counted. */
    public int sharing(Playback pb) {
        Sharers sharers = sharers(pb, pb.rung);
        return pb.plan.live ? sharers == null ? 0 : sharers.playing : 1;
    }

    /** Notes what the carried playbacks ask for now; a joined one adds its share. */
    public void tally(long now, double joinShare) {
        double sum = 0;
        for (Map.Entry<Plan, RungCounts> ofPlan : counts.entrySet()) {
            double[] rates = ofPlan.getKey().rates;
            for (int rung = 0; rung < rates.length; rung++) {
                sum += rates[rung] * (ofPlan.getValue().streams[rung] + joinShare * ofPlan.getValue().joined[rung]);
            }
        }
        rack.own.set(now, rack.own.newest() + sum - own.newest());
        own.set(now, sum);
    }
}
