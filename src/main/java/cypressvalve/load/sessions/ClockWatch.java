package cypressvalve.load.sessions;

import cypressvalve.load.map.Mapping;
import cypressvalve.load.map.Meant;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Watches the clock of one server by its lines. A span without lines is silence, or lost lines, or a clock set
 * forward: what viewers ask for next tells. Lines far behind are late, or the clock was set back: how many follow
 * tells. Free of I/O; whoever reads the lines hands them over in the order of the file.
 */
public final class ClockWatch {
    /** So many lines in a row behind the window are no stragglers: a log is written by a few threads at most. */
    private static final int CONFIRM = 20;
    /** Lines held to judge a gap; viewers ask for a segment every few seconds, so some of each are among them. */
    private static final int HELD = 256;
    /** And no longer than this after the gap: a few segments of any usual length. */
    private static final long HELD_FOR = 15_000_000_000L;
    /** Viewers that answer for all who played: one may have been seeking, and a leap is measured by their median. */
    private static final int ENOUGH = 32;
    /** Fewer than this share of them back says that the others left: nobody was cut off in mid-play. */
    private static final double BACK_SHARE = 0.3;
    /** So many viewers who play and stop in one moment are no chance: each has some tens of moments to stop in. */
    private static final int CUT_OFF = 5;
    /** Viewers whose place in their title is remembered. */
    private static final int REMEMBERED = 4096;

    /** Where lines go on to. */
    public interface To {
        /** A line with its time corrected. */
        void pass(Meant line);

        /** A line whose time belongs nowhere near those around it. */
        void outOfWindow(Meant line);

        /** What was found of the clock, before the lines after it are passed on. */
        void found(Gap gap);
    }

    /** Where a viewer was, when, and how long its last segment took it. */
    private record Place(long segment, long at, long pace) { }

    private record Held(Meant line, long at) { }

    private final int server;
    private final Mapping.Sessions rules;
    private final To to;
    private final Map<String, Place> places = new LinkedHashMap<>(64, 0.75f, true) {
        private static final long serialVersionUID = 1;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Place> eldest) {
            return size() > REMEMBERED;
        }
    };
    private final List<Held> held = new ArrayList<>();
    private boolean behind;
    private long offset;
    private long last = Long.MIN_VALUE;

    /** @param offset what the server's clock is known to be short of, in nanoseconds */
    public ClockWatch(int server, Mapping.Sessions rules, long offset, To to) {
        this.server = server;
        this.rules = rules;
        this.offset = offset;
        this.to = to;
    }

    /** A line that means something. */
    public void offer(Meant line) {
        heard(line, line.at());
    }

    /** A line that means nothing still tells the time. */
    public void tick(long at) {
        heard(null, at);
    }

    private void heard(Meant line, long raw) {
        long at = raw + offset;
        if (held.isEmpty()) {
            if (last != Long.MIN_VALUE && at - last > rules.gap()) {
                behind = false;
                held.add(new Held(line, raw));
            } else if (last != Long.MIN_VALUE && at < last - rules.window()) {
                behind = true;
                held.add(new Held(line, raw));
            } else {
                pass(line, at);
            }
            return;
        }
        if (at >= last - rules.window() && (behind || at - last <= rules.gap())) {
            // Back where it was: those held were strays.
            strays();
            heard(line, raw);
            return;
        }
        held.add(new Held(line, raw));
        if (behind && held.size() >= CONFIRM) {
            setBack();
        } else if (!behind && (held.size() >= HELD || at - (held.get(0).at + offset) > HELD_FOR
            || returned(1) + returned(2) >= Math.min(ENOUGH, Math.max(1, playing())))) {
            judge();
        }
    }

    private void strays() {
        List<Held> strays = new ArrayList<>(held);
        held.clear();
        strays.stream().filter(h -> h.line != null).forEach(h -> to.outOfWindow(h.line));
    }

    private void pass(Meant line, long at) {
        last = Math.max(last, at);
        if (line != null) {
            if (line.segment() >= 0) {
                Place before = places.get(line.keys().get(0));
                long on = before == null ? 0 : line.segment() - before.segment;
                places.put(line.keys().get(0), new Place(line.segment(), at,
                    on > 0 ? (at - before.at) / on : before == null ? 0 : before.pace));
            }
            to.pass(line.at(at));
        }
    }

    /** Viewers that were playing when the lines stopped. */
    private int playing() {
        return (int) places.values().stream().filter(p -> p.at >= last - rules.idle()).count();
    }

    /** Of those, how many went on with their next segment (1), or came back further on (2). */
    private int returned(int how) {
        int n = 0;
        Map<String, Boolean> seen = new java.util.HashMap<>();
        for (Held h : held) {
            Place place = h.line == null || h.line.segment() < 0 ? null : places.get(h.line.keys().get(0));
            if (place == null || place.at < last - rules.idle()
                || seen.put(h.line.keys().get(0), true) != null) {
                continue;
            }
            long on = h.line.segment() - place.segment;
            n += how == 1 && on >= 0 && on <= 1 || how == 2 && on > 1 ? 1 : 0;
        }
        return n;
    }

    /**
     * By how much the clock was set, from when viewers should have asked for the segments that they did ask for; the
     * pause between two lines where too few say.
     */
    private long leap() {
        List<Long> found = new ArrayList<>();
        Map<String, Boolean> seen = new java.util.HashMap<>();
        long[] paces = places.values().stream().filter(p -> p.pace > 0).mapToLong(Place::pace).sorted().toArray();
        long usual = paces.length == 0 ? 0 : paces[paces.length / 2];
        for (Held h : held) {
            Place place = h.line == null || h.line.segment() < 0 ? null : places.get(h.line.keys().get(0));
            if (place != null && place.at >= last - rules.idle() && h.line.segment() >= place.segment
                && h.line.segment() <= place.segment + 1 && seen.put(h.line.keys().get(0), true) == null) {
                found.add(h.at + offset - place.at - usual * (h.line.segment() - place.segment));
            }
        }
        found.sort(null);
        return found.isEmpty() ? held.get(0).at + offset - last : found.get(found.size() / 2);
    }

    /**
     * Whether viewers stopped in mid-play all in the same moment: each would have asked for its next segment within
     * twice the usual pace, and people who leave do not leave together.
     */
    private boolean cutOff() {
        long[] paces = places.values().stream().filter(p -> p.pace > 0).mapToLong(Place::pace).sorted().toArray();
        long usual = paces.length == 0 ? 0 : paces[paces.length / 2];
        return places.values().stream().filter(p -> p.at >= last - 2 * usual && p.pace > 0).count() >= CUT_OFF;
    }

    private void judge() {
        int next = returned(1);
        int further = returned(2);
        int playing = playing();
        boolean back = next + further > 0 && next + further >= BACK_SHARE * Math.min(ENOUGH, playing);
        long first = held.get(0).at + offset;
        Gap.Kind kind = back ? next >= further ? Gap.Kind.LEAP : Gap.Kind.LOSS
            : cutOff() ? Gap.Kind.LOSS : Gap.Kind.SILENCE;
        to.found(new Gap(server, last, first, kind, playing, next + further));
        if (kind == Gap.Kind.LEAP) {
            // Nobody's player stands still for so long and then goes on: the clock did.
            offset -= leap();
        }
        release();
    }

    private void setBack() {
        long first = held.get(0).at + offset;
        to.found(new Gap(server, last, first, Gap.Kind.LEAP, playing(), 0));
        offset -= leap();
        release();
    }

    private void release() {
        List<Held> now = new ArrayList<>(held);
        held.clear();
        now.forEach(h -> pass(h.line, h.at + offset));
    }

    /** No line follows. */
    public void finish() {
        if (held.isEmpty()) {
            return;
        }
        if (behind) {
            strays();
        } else {
            judge();
        }
    }
}
