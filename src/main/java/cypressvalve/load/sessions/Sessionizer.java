package cypressvalve.load.sessions;

import cypressvalve.load.map.Mapping;
import cypressvalve.load.map.Meant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Predicate;
import java.util.function.ToLongFunction;

/**
 * Makes playbacks of requests that come in the order of their times: an ordered list of short rules, of which the
 * first that fits takes the request. Free of I/O and of clocks. Holds open playbacks only, up to a budget.
 */
public final class Sessionizer {
    private static final long SECOND = 1_000_000_000L;
    /** A player that fetches its manifest twice does so at once; a viewer who comes again needs longer. */
    private static final long TWICE = 2 * SECOND;
    /** A viewer whose address changes misses a segment or two, not more: its buffer would run dry. */
    private static final long SEGMENTS_MISSED = 2;

    /** Where playbacks and lines' classes go. */
    public interface To {
        /** A playback that is over; they come in the order of their ends, not of their beginnings. */
        void played(Played playback);

        /** A line belongs to a playback. */
        void used();

        /** A line belongs to none, for that reason. */
        void aside(String reason);
    }

    private static final class Visit {
        private final long begun;
        private final Set<String> keys = new LinkedHashSet<>();
        private final boolean sure;
        private String title;
        private String plan;
        private String tenant;
        private final String agent;
        private int screen = -1;
        private int hint;
        private long heard;
        private long lastTryAt;
        private final List<Played.Try> tries = new ArrayList<>(1);
        private long firstSegment = -1;
        private long lastSegment = -1;
        private long segments;
        private long bytes;
        private long patience;
        private boolean headless;
        private boolean started;
        private final boolean live;

        private Visit(Meant m) {
            begun = lastTryAt = heard = m.at();
            sure = m.sure();
            title = m.title();
            plan = m.plan();
            tenant = m.tenant();
            agent = m.hit().agent();
            live = m.live();
        }
    }

    /** One request and what is known of who sent it. */
    private final class Step {
        private final Meant m;
        private final List<Visit> own;

        private Step(Meant m) {
            this.m = m;
            this.own = open(m);
        }

        /** The newest of the viewer's open playbacks that fits, or null. */
        private Visit newest(Predicate<Visit> fits) {
            return own.stream().filter(fits).max(Comparator.comparingLong(v -> v.heard)).orElse(null);
        }

        private void aside(String reason) {
            to.aside(reason);
        }

        private boolean same(Visit v) {
            return m.title().isEmpty() || v.title.equals(m.title());
        }

        /** Two viewers behind one address are told apart by where in the title they are. */
        private Visit follows() {
            return own.stream().filter(this::same).min(Comparator.<Visit>comparingLong(v -> distance(v, m.segment()))
                .thenComparingLong(v -> -v.heard)).orElse(null);
        }
    }

    private record Rule(Predicate<Step> fits, Consumer<Step> effect) { }

    private final Mapping.Sessions settings;
    private final To to;
    private final ToLongFunction<String> hash;
    private final Map<String, List<Visit>> byKey = new HashMap<>();
    private final Map<String, List<Visit>> byPlace = new HashMap<>();
    /** All open ones, the longest unheard first. */
    private final LinkedHashSet<Visit> visits = new LinkedHashSet<>();
    private final List<Gap> losses = new ArrayList<>();
    private long now = Long.MIN_VALUE;
    private long tooMany;
    private long moved;
    private int mostHeld;

    private final List<Rule> rules = List.of(
        new Rule(s -> s.m.kind() == Meant.Kind.ASK && askedLate(s) != null, s -> foundAsk(askedLate(s), s.m)),
        new Rule(s -> s.m.kind() == Meant.Kind.ASK && retried(s) != null, s -> tryAgain(retried(s), s.m)),
        new Rule(s -> s.m.kind() == Meant.Kind.ASK && fetchedTwice(s) != null, s -> touch(fetchedTwice(s), s.m)),
        new Rule(s -> s.m.kind() == Meant.Kind.ASK, s -> ask(s.m)),
        new Rule(s -> s.m.kind() == Meant.Kind.END && s.newest(s::same) != null, s -> ended(s.newest(s::same), s.m)),
        new Rule(s -> s.m.kind() == Meant.Kind.END, s -> s.aside("end of nothing open")),
        new Rule(s -> s.follows() != null, s -> touch(s.follows(), s.m)),
        new Rule(s -> moved(s.m) != null, s -> move(moved(s.m), s.m)),
        new Rule(s -> !s.m.served(), s -> s.aside("refused, of nothing open")),
        new Rule(s -> s.m.title().isEmpty() || s.m.plan().isEmpty(), s -> s.aside("no request to watch before it")),
        new Rule(s -> true, s -> headless(s.m)));

    /** @param hash of a key, so that no playback carries its viewer's address */
    public Sessionizer(Mapping.Sessions settings, ToLongFunction<String> hash, To to) {
        this.settings = settings;
        this.hash = hash;
        this.to = to;
    }

    /** Lines were lost while viewers played on: their silence in that span does not count. */
    public void found(Gap gap) {
        if (gap.kind() == Gap.Kind.LOSS) {
            losses.add(gap);
        }
    }

    /** The next request; its time is not before the last one's. */
    public void offer(Meant m) {
        now = Math.max(now, m.at());
        expire();
        Step step = new Step(m);
        for (Rule rule : rules) {
            if (rule.fits.test(step)) {
                rule.effect.accept(step);
                return;
            }
        }
        throw new IllegalStateException("no rule took a request");
    }

    /** No request follows. Those that may have gone on are told so. */
    public void finish() {
        for (Visit v : new ArrayList<>(visits)) {
            emit(v, quiet(v) < settings.idle(), false);
        }
    }

    /** Playbacks that were ended early to keep to the budget. */
    public long tooMany() {
        return tooMany;
    }

    /** Viewers that went on under another address. */
    public long movedViewers() {
        return moved;
    }

    /** Most playbacks held open at once. */
    public int mostHeld() {
        return mostHeld;
    }

    private List<Visit> open(Meant m) {
        List<Visit> found = null;
        for (String key : m.keys()) {
            List<Visit> under = byKey.get(key);
            if (under != null) {
                if (found == null) {
                    found = new ArrayList<>(under);
                } else {
                    for (Visit v : under) {
                        if (!found.contains(v)) {
                            found.add(v);
                        }
                    }
                }
            }
        }
        return found == null ? List.of() : found;
    }

    private static long distance(Visit v, long segment) {
        return segment < 0 || v.lastSegment < 0 ? 0 : Math.abs(segment - v.lastSegment - 1);
    }

    /** A failed first try and one more soon after are one playback; so are all with an id of that playback alone. */
    private Visit retried(Step s) {
        return s.newest(v -> s.same(v) && !v.started && !v.headless
            && (s.m.at() - v.lastTryAt <= settings.again() || v.sure));
    }

    private Visit fetchedTwice(Step s) {
        return s.newest(v -> s.same(v) && v.started && s.m.served() && s.m.at() - v.lastTryAt <= TWICE
            && (v.sure ? v.keys.containsAll(s.m.keys()) : v.segments == 0));
    }

    /** Within the window lines may be in any order: a segment's line just before that of its manifest. */
    private Visit askedLate(Step s) {
        return s.newest(v -> s.same(v) && v.headless && v.tries.isEmpty()
            && s.m.at() - v.begun <= settings.window());
    }

    private void foundAsk(Visit v, Meant m) {
        v.headless = false;
        v.plan = m.plan();
        v.tenant = m.tenant();
        tryAgain(v, m);
    }

    private void ask(Meant m) {
        Visit v = open(m, false);
        v.tries.add(new Played.Try(0, Math.max(0, m.hit().status()), Math.max(0, m.hit().took())));
        answered(v, m);
        to.used();
    }

    private void tryAgain(Visit v, Meant m) {
        v.tries.add(new Played.Try(m.at() - v.begun, Math.max(0, m.hit().status()), Math.max(0, m.hit().took())));
        v.lastTryAt = m.at();
        answered(v, m);
        heard(v, m);
        to.used();
    }

    /** The status that nginx writes where the client closed the connection before the answer. */
    private static final int CLIENT_CLOSED = 499;

    private void answered(Visit v, Meant m) {
        v.started |= m.served() && m.hit().status() != CLIENT_CLOSED;
        if (m.hit().status() == CLIENT_CLOSED && m.hit().took() > 0) {
            v.patience = m.hit().took();
        }
        v.screen = Math.max(v.screen, m.screen());
        v.hint = Math.max(v.hint, m.hint());
    }

    private void headless(Meant m) {
        Visit v = open(m, true);
        v.started = true;
        seen(v, m);
        to.used();
    }

    private void touch(Visit v, Meant m) {
        heard(v, m);
        if (m.served()) {
            v.started = true;
            seen(v, m);
        }
        to.used();
    }

    private void ended(Visit v, Meant m) {
        heard(v, m);
        emit(v, false, false);
        to.used();
    }

    /** A segment that goes on where one viewer of the same title and agent left off, known by address before. */
    private Visit moved(Meant m) {
        if (m.segment() < 0 || m.title().isEmpty() || m.sure() || m.hit().agent().isEmpty()) {
            return null;
        }
        List<Visit> there = byPlace.getOrDefault(place(m.title(), m.hit().agent()), List.of());
        Visit found = null;
        for (Visit v : there) {
            if (m.segment() > v.lastSegment && m.segment() <= v.lastSegment + 1 + SEGMENTS_MISSED
                && v.lastSegment >= 0) {
                if (found != null) {
                    return null; // Two that could be it: no guess.
                }
                found = v;
            }
        }
        return found;
    }

    private void move(Visit v, Meant m) {
        moved++;
        touch(v, m);
    }

    private static String place(String title, String agent) {
        return title + "\n" + agent;
    }

    private Visit open(Meant m, boolean headless) {
        if (visits.size() >= settings.most()) {
            // The one unheard the longest is the likeliest to be over.
            tooMany++;
            emit(visits.iterator().next(), false, true);
        }
        Visit v = new Visit(m);
        v.headless = headless;
        visits.add(v);
        mostHeld = Math.max(mostHeld, visits.size());
        known(v, m);
        if (!v.sure) {
            byPlace.computeIfAbsent(place(v.title, v.agent), k -> new ArrayList<>(1)).add(v);
        }
        return v;
    }

    private void known(Visit v, Meant m) {
        for (String key : m.keys()) {
            if (v.keys.add(key)) {
                byKey.computeIfAbsent(key, k -> new ArrayList<>(1)).add(v);
            }
        }
    }

    private void heard(Visit v, Meant m) {
        v.heard = m.at();
        visits.remove(v);
        visits.add(v);
        known(v, m);
    }

    private void seen(Visit v, Meant m) {
        if (v.tenant.isEmpty()) {
            v.tenant = m.tenant();
        }
        v.bytes += Math.max(0, m.hit().bytes());
        v.screen = Math.max(v.screen, m.rung());
        if (m.segment() >= 0) {
            v.segments++;
            v.firstSegment = v.firstSegment < 0 ? m.segment() : Math.min(v.firstSegment, m.segment());
            v.lastSegment = Math.max(v.lastSegment, m.segment());
        }
    }

    /** How long nothing was heard of it, but for spans whose lines are lost. */
    private long quiet(Visit v) {
        long quiet = now - v.heard;
        for (Gap gap : losses) {
            quiet -= Math.max(0, Math.min(now, gap.to()) - Math.max(v.heard, gap.from()));
        }
        return quiet;
    }

    private void expire() {
        Iterator<Visit> oldest = visits.iterator();
        while (oldest.hasNext()) {
            Visit v = oldest.next();
            if (now - v.heard < settings.idle()) {
                break;
            }
            if (quiet(v) >= settings.idle()) {
                emit(v, false, false);
                oldest = visits.iterator();
            }
        }
        losses.removeIf(gap -> gap.to() < now - 4 * settings.idle());
    }

    private void emit(Visit v, boolean outlasts, boolean cutShort) {
        visits.remove(v);
        for (String key : v.keys) {
            forget(byKey, key, v);
        }
        if (!v.sure) {
            forget(byPlace, place(v.title, v.agent), v);
        }
        to.played(new Played(v.begun, v.keys.stream().map(hash::applyAsLong).toList(), v.title, v.plan, v.tenant,
            v.screen, v.hint, v.heard - v.begun, List.copyOf(v.tries), v.firstSegment, v.lastSegment, v.segments,
            v.bytes, v.patience, v.headless, outlasts, cutShort, v.live, v.started));
    }

    private static void forget(Map<String, List<Visit>> index, String key, Visit v) {
        List<Visit> under = index.get(key);
        if (under != null && under.remove(v) && under.isEmpty()) {
            index.remove(key);
        }
    }
}
