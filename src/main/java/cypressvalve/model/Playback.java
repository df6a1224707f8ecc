package cypressvalve.model;

import java.util.ArrayList;
import java.util.List;

/** A viewer's playback at this gateway, from its request to its end. */
public final class Playback {
    public final String id;
    public Title title;
    public Plan plan;
    /** Number of its tenant, below 0 if it has none. */
    public int tenant = -1;
    public int ceiling;
    public long arrivedAt;
    public long abandonAt;
    /** A rough guess of its length, 0 if none is given. */
    public long hint;

    public final List<SetupTry> tries = new ArrayList<>();
    /** The rung in force, and since when. */
    public int rung;
    public int rungTold;
    /** How many of the gateway's playbacks began to play before it. */
    public long turn;
    public long rungSince;
    public boolean playing;
    public long playingSince;
    /** Its final answer is given, or it is over. */
    public boolean answered;
    /** It asked for a probe before its set-up, and waits for the result until then. */
    public boolean probed;
    public long waitUntil;

    public Playback(String id) {
        this.id = id;
    }

    public SetupTry lastTry() {
        return tries.isEmpty() ? null : tries.get(tries.size() - 1);
    }

    /** The highest rung that its plan and its screen may use. */
    public int highest() {
        return Math.max(plan.floor, Math.min(Math.min(ceiling, plan.top), plan.rates.length - 1));
    }

    /** A try is out, or the playback plays. */
    public boolean onHost() {
        return !tries.isEmpty() && lastTry().verdict == null;
    }
}
