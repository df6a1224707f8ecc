package cypressvalve.session;

import cypressvalve.host.HostAddress;
import cypressvalve.model.Playback;
import java.util.ArrayList;
import java.util.List;

/** One playback as fronts see it, from the request to its end. Read and changed on the loop only. */
public final class Session {
    /** Where it stands. */
    public enum State { OPENING, PLAYING, ENDED }

    /** Why a session is over. */
    public enum End { REJECTED, FAILED, LEFT, SILENT, HOST_LOST, MOVED, DRAINED, EXPIRED }

    private Ask ask;
    final Playback playback;
    final List<Answer> waiting = new ArrayList<>();
    /** Who is told of its end once it plays. */
    Answer watching;
    /** What the media host said of it, until its answer has gone out; null where it said nothing. */
    byte[] description;
    /** What its media host said before its answer was read; null if nothing. */
    EarlyNotes earlyNotes;
    /** Whose word it is that it stands; null where it was set up here, or its media host has confirmed it. */
    HandOvers.Claim claim;
    State state = State.OPENING;
    End end;
    HostAddress host;
    /** What the host calls it; null until it plays. */
    String hostName;
    long lastSeen;
    /** When it ends unless its token is renewed. */
    long endsAt;
    /** System.nanoTime() when it began to play. */
    long begunAt;

    Session(Ask ask, Playback playback) {
        this.ask = ask;
        this.playback = playback;
        endsAt = ask.grant() == null ? Long.MAX_VALUE : ask.grant().endsAt();
    }

    /** The gateway's name of it, unguessable. */
    public String id() {
        return playback.id;
    }

    public Ask ask() {
        return ask;
    }

    /** What was offered to the media host is of no more use: it is not kept for as long as the session plays. */
    void forgetOffered() {
        ask = ask.withoutDescription();
    }

    public State state() {
        return state;
    }

    /** Why it is over; null until then. */
    public End end() {
        return end;
    }

    /** Who is told of its end, and before it plays, who waits for its answer first; null if nobody. */
    public Answer watching() {
        return watching != null || waiting.isEmpty() ? watching : waiting.get(0);
    }

    /** The media host in force; null until it plays. */
    public HostAddress host() {
        return host;
    }

    /** What the media host said of it at its start, as it came; null where it said nothing, and once that was passed on. */
    public byte[] description() {
        return description;
    }

    /** The rung in force. */
    public int rung() {
        return playback.rungTold;
    }

    /** The highest rung that plan and screen may use. */
    public int highestRung() {
        return Math.max(playback.plan.floor,
            Math.min(Math.min(playback.ceiling, playback.plan.top), playback.plan.rates.length - 1));
    }

    /** Rate of a rung in the session's plan, kB a second. */
    public double rate(int rung) {
        return playback.plan.rates[rung];
    }

    /** The name of the try that plays, as the media host knows it. */
    public String hostSession() {
        return hostName != null ? hostName : name(playback);
    }

    static String name(Playback playback) {
        return playback.id + "." + playback.lastTry().number;
    }
}
