package cypressvalve.load.trace;

import cypressvalve.load.sessions.Played;
import cypressvalve.load.trace.wire.Header;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;

/** Makes a trace of traces: a part in time, a share, a multiple, another beginning, two in one. */
public final class TraceEdit {
    private static final long SECOND = 1_000_000_000L;
    private static final int HELD = 20_000;

    private TraceEdit() {
    }

    /** One playback into none, one or several. */
    private interface Change {
        void of(Played p, Runs.To to) throws IOException;
    }

    private static void edit(Path from, Path to, String step, long shift, Change change) throws IOException {
        try (TraceReader in = TraceReader.open(from); Runs runs = new Runs(HELD)) {
            for (Played p = in.next(); p != null; p = in.next()) {
                change.of(p, runs::add);
            }
            Header old = in.header();
            long begins = old.getBegins() + shift;
            write(runs, to, old.toBuilder().addSteps(step).setBegins(begins)
                .setSpan(Math.max(0, runs.last() - begins)));
        }
    }

    private static void write(Runs runs, Path to, Header.Builder header) throws IOException {
        try (TraceWriter out = new TraceWriter(to, header.setPlaybacks(runs.count()).setTries(runs.tries()).build())) {
            runs.drain(out::put);
            out.finish();
        }
    }

    /**
     * Keeps playbacks that begin in a span, and lets the trace begin with it.
     *
     * @param from nanoseconds after the trace's beginning
     * @param until not included
     */
    public static void cut(Path in, Path out, long from, long until) throws IOException {
        long[] begins = new long[1];
        try (TraceReader reader = TraceReader.open(in)) {
            begins[0] = reader.header().getBegins();
        }
        edit(in, out, "cut " + from / 1e9 + "s to " + until / 1e9 + "s", from, (p, to) -> {
            long at = p.at() - begins[0];
            if (at >= from && at < until) {
                to.put(p);
            }
        });
    }

    /** Keeps a share of the viewers, each whole or not at all; the seed says which. */
    public static void thin(Path in, Path out, double share, long seed) throws IOException {
        edit(in, out, "thin to " + share + " by seed " + seed, 0, (p, to) -> {
            long key = p.keys().isEmpty() ? p.at() : p.keys().get(0);
            if (part(key, seed) < share) {
                to.put(p);
            }
        });
    }

    /** A number from 0 to 1 that hangs on key and seed alone. */
    public static double part(long key, long seed) {
        return RandomGeneratorFactory.of("L64X128MixRandom").create(key * 0x9e3779b97f4a7c15L ^ seed).nextDouble();
    }

    /**
     * Makes several viewers of each, who want the same at another moment of the same second: seconds keep their
     * shares of the whole, so bursts stay as steep, and titles keep their ranks.
     */
    public static void multiply(Path in, Path out, int by, long seed) throws IOException {
        RandomGenerator chance = RandomGeneratorFactory.of("L64X128MixRandom").create(seed);
        edit(in, out, "multiply by " + by + " by seed " + seed, 0, (p, to) -> {
            to.put(p);
            for (int i = 1; i < by; i++) {
                int copy = i;
                long second = Math.floorDiv(p.at(), SECOND) * SECOND;
                to.put(p.at(second + (long) (chance.nextDouble() * SECOND))
                    .by(p.keys().stream().map(k -> k + 0x632be59bd9b4e019L * copy).toList()));
            }
        });
    }

    /** Lets the trace begin later, or sooner, on the wall clock. */
    public static void shift(Path in, Path out, long by) throws IOException {
        edit(in, out, "shift by " + by / 1e9 + "s", by, (p, to) -> to.put(p.at(p.at() + by)));
    }

    private static final class Joined {
        private Played playback;

        private Joined(Played playback) {
            this.playback = playback;
        }
    }

    /**
     * Two traces in one. Where the second goes on where the first ends, playbacks that the first left open are taken
     * together with their second parts, as if one import had read both sources.
     */
    public static void join(Path first, Path second, Path out) throws IOException {
        try (TraceReader a = TraceReader.open(first); TraceReader b = TraceReader.open(second);
            Runs runs = new Runs(HELD)) {
            Header ha = a.header();
            Header hb = b.header();
            if (ha.getBegins() > hb.getBegins()) {
                throw new IOException(second + ": expected a trace that begins after " + first);
            }
            if (!ha.getIds().equals(hb.getIds()) || !ha.getMapping().equals(hb.getMapping())) {
                throw new IOException(second + ": expected the mapping and ids of " + first);
            }
            long end = Math.max(ha.getBegins() + ha.getSpan(), hb.getBegins() + hb.getSpan());
            Map<Long, List<Joined>> open = new HashMap<>();
            Set<Joined> all = new LinkedHashSet<>();
            for (Played p = a.next(); p != null; p = a.next()) {
                if (!p.outlasts()) {
                    runs.add(p);
                    continue;
                }
                Joined joined = new Joined(p);
                all.add(joined);
                p.keys().forEach(k -> open.computeIfAbsent(k, x -> new ArrayList<>(1)).add(joined));
            }
            Set<Joined> taken = new LinkedHashSet<>();
            for (Played p = b.next(); p != null; p = b.next()) {
                Joined before = before(p, open, taken, ha.getIdle());
                if (before == null) {
                    runs.add(p);
                } else {
                    taken.add(before);
                    before.playback = together(before.playback, p);
                }
            }
            for (Joined joined : all) {
                Played p = joined.playback;
                runs.add(taken.contains(joined) ? p : outlasting(p, end - p.end() < ha.getIdle()));
            }
            Header.Builder header = ha.toBuilder().addAllSources(hb.getSourcesList())
                .setLines(ha.getLines() + hb.getLines()).setUsed(ha.getUsed() + hb.getUsed())
                .setBad(ha.getBad() + hb.getBad()).addAllGaps(hb.getGapsList()).addSteps("join")
                .setSpan(end - ha.getBegins());
            hb.getAsideMap().forEach((reason, n) -> header.putAside(reason, header.getAsideOrDefault(reason, 0) + n));
            write(runs, out, header);
        }
    }

    private static Joined before(Played p, Map<Long, List<Joined>> open, Set<Joined> taken, long idle) {
        Joined best = null;
        for (long key : p.keys()) {
            for (Joined j : open.getOrDefault(key, List.of())) {
                Played a = j.playback;
                boolean goesOn = p.headless() ? a.started() : !a.started() && !a.headless();
                if (!taken.contains(j) && a.title().equals(p.title()) && goesOn && p.at() - a.end() < idle
                    && (best == null || distance(a, p) < distance(best.playback, p))) {
                    best = j;
                }
            }
        }
        return best;
    }

    private static long distance(Played a, Played b) {
        return a.lastSegment() < 0 || b.firstSegment() < 0 ? 0 : Math.abs(b.firstSegment() - a.lastSegment() - 1);
    }

    private static Played outlasting(Played p, boolean outlasts) {
        return new Played(p.at(), p.keys(), p.title(), p.plan(), p.tenant(), p.screen(), p.hint(), p.length(),
            p.tries(), p.firstSegment(), p.lastSegment(), p.segments(), p.bytes(), p.patience(), p.headless(),
            outlasts, p.cutShort(), p.live(), p.started());
    }

    private static Played together(Played a, Played b) {
        Set<Long> keys = new LinkedHashSet<>(a.keys());
        keys.addAll(b.keys());
        List<Played.Try> tries = new ArrayList<>(a.tries());
        b.tries().forEach(t -> tries.add(new Played.Try(b.at() - a.at() + t.after(), t.status(), t.took())));
        long first = a.firstSegment() < 0 ? b.firstSegment()
            : b.firstSegment() < 0 ? a.firstSegment() : Math.min(a.firstSegment(), b.firstSegment());
        return new Played(a.at(), List.copyOf(keys), a.title(), a.plan(), a.tenant().isEmpty() ? b.tenant() : a.tenant(),
            Math.max(a.screen(), b.screen()), Math.max(a.hint(), b.hint()), b.end() - a.at(), List.copyOf(tries), first,
            Math.max(a.lastSegment(), b.lastSegment()), a.segments() + b.segments(), a.bytes() + b.bytes(),
            b.patience() > 0 ? b.patience() : a.patience(), a.headless(), b.outlasts(), b.cutShort(), a.live(),
            a.started() || b.started());
    }
}
