package cypressvalve.lab;

import cypressvalve.host.Carried;
import cypressvalve.host.LoadReport;
import cypressvalve.host.SetUpOrder;
import cypressvalve.model.Verdict;
import cypressvalve.rehearsal.Adoption;
import cypressvalve.standin.ColdStart;
import cypressvalve.standin.HostSpec;
import cypressvalve.tape.Tape;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;

/**
 * A media host in simulated time: the stand-in's model without its sockets. Set-ups take a core for a shifted
 * exponential time, sessions share the link in proportion, a fresh host warms and falls over when pushed. docs/lab.md
 * has the models and what they leave out.
 */
final class LabHost implements Adoption.Host {
    private static final long SECOND = 1_000_000_000L;
    /** Notes and leases are looked at ten times a second, as by the stand-in. */
    private static final long TICK = 100_000_000L;
    /** A transfer's rate is looked at again this often. */
    private static final long STEP = 250_000_000L;

    /** How a set-up ended here, told to whoever asked for it while it still runs. */
    interface Ended {
        void ended(Verdict verdict, LoadReport report);
    }

    /** Hears the host's notes, after their delay. */
    interface Listener {
        void delivered(String session, double share);

        void load(String session, LoadReport report);

        void lost();
    }

    /** How a segment's transfer ended. */
    interface Transfer {
        void done(boolean whole, String why);
    }

    /** A try or a session that the host holds. */
    private static final class Held implements HostSpec.Carries {
        final String name;
        final int gateway;
        final String title;
        final String plan;
        final String about;
        int rung;
        Ended ended;
        boolean playing;
        boolean over;
        long lastSeen;
        double factor = 1;
        final List<Runnable> transfers = new ArrayList<>(1);

        Held(String name, int gateway, String title, String plan, int rung, String about) {
            this.name = name;
            this.gateway = gateway;
            this.title = title;
            this.plan = plan;
            this.rung = rung;
            this.about = about;
        }

        @Override
        public boolean playing() {
            return playing;
        }

        @Override
        public String title() {
            return title;
        }

        @Override
        public String plan() {
            return plan;
        }

        @Override
        public int rung() {
            return rung;
        }

        @Override
        public double factor() {
            return factor;
        }
    }

    private final Simulation time;
    private final HostSpec spec;
    private final LabUplink uplink;
    private final Tape tape;
    private final Random chance;
    private final Map<String, Held> held = new LinkedHashMap<>();
    private final Set<String> withdrawn = new HashSet<>();
    private final ArrayDeque<Held> queue = new ArrayDeque<>();
    private final ColdStart start;
    private final Map<Integer, Listener> listeners = new LinkedHashMap<>();
    boolean hang;
    boolean answersLost;
    double errors;
    double linkPart = 1;
    long notesLate;
    private int working;
    private int life;
    private boolean up;
    private boolean fallen;
    private boolean wasShort;
    private long startedAt;
    private long lastNotes;
    private double smoothed = 1;
    private double linkUse;

    LabHost(Simulation time, HostSpec spec, LabUplink uplink, Tape tape) {
        this.time = time;
        this.spec = spec;
        this.uplink = uplink;
        this.tape = tape;
        chance = new Random(spec.seed());
        start = new ColdStart(spec.cold(), spec.places());
    }

    HostSpec spec() {
        return spec;
    }

    boolean up() {
        return up;
    }

    boolean fallen() {
        return fallen;
    }

    long startedAt() {
        return startedAt;
    }

    /** @param warm whether it counts as having run for long */
    void start(boolean warm) {
        life++;
        up = true;
        startedAt = time.now();
        start.begin(startedAt, warm);
        lastNotes = time.now();
        tape.put("host", "up", "host", spec.id(), "warm", warm, "places", spec.places(), "coldTime", spec.cold().time(),
            "coldShare", spec.cold().share(), "multiple", spec.cold().multiple(), "window", spec.cold().window());
        int born = life;
        // Hosts did not all start in the same moment.
        time.after((long) (TICK * chance.nextDouble()), () -> tick(born));
    }

    void crash() {
        die("down");
    }

    private void die(String kind) {
        if (!up) {
            return;
        }
        up = false;
        life++;
        tape.put("host", kind, "host", spec.id());
        List<Held> all = new ArrayList<>(held.values());
        held.clear();
        queue.clear();
        withdrawn.clear();
        working = 0;
        uplink.asks(spec.id(), 0);
        List<Listener> heard = new ArrayList<>(listeners.values());
        listeners.clear();
        for (Held h : all) {
            h.over = true;
            if (h.ended != null) {
                h.ended.ended(Verdict.BROKEN, LoadReport.NONE);
            }
            List.copyOf(h.transfers).forEach(Runnable::run);
        }
        heard.forEach(Listener::lost);
    }

    /** A session that plays when the day begins; false if place or link does not allow it. */
    @Override
    public boolean adopt(String name, int gateway, String title, String plan, int rung, String about) {
        if (!spec.roomAtStart(held.values(), plan, rung)) {
            return false;
        }
        Held fresh = new Held(name, gateway, title, plan, rung, about);
        fresh.playing = true;
        fresh.lastSeen = time.now();
        fresh.factor = spec.drawFactor(chance);
        held.put(name, fresh);
        share();
        tape.put("host", "adopted", "host", spec.id(), "gateway", gateway, "session", name, "playback",
            name.substring(0, name.lastIndexOf('.')), "title", title, "plan", plan, "rung", rung);
        return true;
    }

    // Set-ups.

    void setUp(int gateway, SetUpOrder order, Ended ended) {
        String name = order.name();
        tape.put("host", "setup", "host", spec.id(), "gateway", gateway, "session", name, "playback", order.playback(),
            "try", "" + order.number(), "title", order.title(), "plan", order.plan(), "rung", order.rung(),
            "about", order.about());
        if (pushedOver()) {
            ended.ended(Verdict.BROKEN, LoadReport.NONE);
            return;
        }
        Held fresh = new Held(name, gateway, order.title(), order.plan(), order.rung(), order.about());
        fresh.ended = ended;
        if (withdrawn.remove(name) || held.containsKey(name)) {
            end(fresh, "withdrawn", Verdict.FULL);
        } else if (held.size() >= spec.places() || queue.size() >= spec.queue()) {
            end(fresh, "full", Verdict.FULL);
        } else if (chance.nextDouble() < errors) {
            end(fresh, "error", Verdict.ERROR);
        } else {
            held.put(name, fresh);
            queue.add(fresh);
            work();
        }
    }

    private boolean pushedOver() {
        if (!start.pushedOver(time.now())) {
            return false;
        }
        fallen = true;
        die("fell");
        return true;
    }

    private void work() {
        while (working < spec.cores() && !queue.isEmpty() && !hang) {
            Held next = queue.poll();
            if (next.over) {
                continue;
            }
            working++;
            long took = spec.drawWork(next.plan, start.warmth(time.now()), chance);
            int born = life;
            time.after(took, () -> {
                if (born == life) {
                    working--;
                    ready(next);
                    work();
                }
            });
        }
    }

    private void ready(Held session) {
        if (session.over) {
            return;
        }
        session.playing = true;
        session.lastSeen = time.now();
        session.factor = spec.drawFactor(chance);
        share();
        if (hang || answersLost) {
            tape.put("host", "answer-lost", "host", spec.id(), "session", session.name);
            return;
        }
        tape.put("host", "setup-end", "host", spec.id(), "session", session.name, "how", "started");
        Ended ended = session.ended;
        session.ended = null;
        ended.ended(null, answered());
    }

    private void end(Held session, String how, Verdict verdict) {
        session.over = true;
        tape.put("host", "setup-end", "host", spec.id(), "session", session.name, "how", how);
        if (!hang) {
            session.ended.ended(verdict, answered());
        }
    }

    void release(String name) {
        Held session = held.remove(name);
        tape.put("host", "release", "host", spec.id(), "session", name, "known", session != null);
        if (session == null) {
            if (withdrawn.size() < 10_000) {
                withdrawn.add(name);
            }
            return;
        }
        session.over = true;
        queue.remove(session);
        List.copyOf(session.transfers).forEach(Runnable::run);
        share();
    }

    void rung(String name, int rung) {
        Held session = held.get(name);
        if (session != null) {
            session.rung = rung;
            tape.put("host", "rung", "host", spec.id(), "session", name, "plan", session.plan, "rung", rung);
            share();
        }
    }

    List<Carried> carried(int gateway) {
        return held.values().stream().filter(h -> h.gateway == gateway && h.playing)
            .map(h -> new Carried(h.name, h.title, h.plan, h.rung, h.about)).toList();
    }

    // The link.

    private void share() {
        double asked = spec.asked(held.values());
        linkUse = asked / (spec.link() * linkPart * start.warmth(time.now()));
        uplink.asks(spec.id(), asked);
    }

    private double delivered() {
        return hang ? 0 : Math.min(1, 1 / Math.max(1e-9, Math.max(linkUse, uplink.use())));
    }

    /** A segment of a session at a rung; the transfer ends once, and {@link Transfer#done} says how. */
    Runnable transfer(String name, int rung, Transfer transfer) {
        Held session = held.get(name);
        if (!up || session == null || !session.playing) {
            transfer.done(false, up ? "media-status-410" : "media");
            return () -> { };
        }
        session.lastSeen = time.now();
        boolean[] over = new boolean[1];
        Runnable broken = () -> {
            if (!over[0]) {
                over[0] = true;
                transfer.done(false, "media");
            }
        };
        session.transfers.add(broken);
        double kb = spec.rate(session, rung) * spec.segment() / SECOND;
        go(session, kb, over, () -> {
            session.transfers.remove(broken);
            transfer.done(true, "");
        });
        return () -> {
            over[0] = true;
            session.transfers.remove(broken);
        };
    }

    private void go(Held session, double left, boolean[] over, Runnable done) {
        if (over[0]) {
            return;
        }
        double use = Math.max(linkUse, uplink.use());
        double perNano = hang ? 0 : spec.rate(session, session.rung) * Math.min(HostSpec.FASTEST, 1 / Math.max(use, 1e-9)) / SECOND;
        long needs = perNano <= 0 ? Long.MAX_VALUE : (long) (left / perNano);
        if (needs <= STEP) {
            time.after(needs, () -> {
                if (!over[0]) {
                    over[0] = true;
                    session.lastSeen = time.now();
                    done.run();
                }
            });
        } else {
            if (perNano > 0) {
                session.lastSeen = time.now();
            }
            time.after(STEP, () -> go(session, left - perNano * STEP, over, done));
        }
    }

    // Reports and notes.

    private double noisy(double value) {
        return Math.max(0, value * (1 + spec.reports().noise() * chance.nextGaussian()));
    }

    private LoadReport answered() {
        return spec.reports().inAnswers() ? new LoadReport(noisy(linkUse), noisy(uplink.use())) : LoadReport.NONE;
    }

    LoadReport probed() {
        return spec.reports().inAnswers() || spec.reports().onProbe()
            ? new LoadReport(noisy(linkUse), noisy(uplink.use())) : LoadReport.NONE;
    }

    /** Hears notes from now on; null for no longer. */
    void listen(int gateway, Listener listener) {
        if (listener == null) {
            listeners.remove(gateway);
        } else {
            listeners.put(gateway, listener);
        }
    }

    private void tick(int born) {
        if (born != life) {
            return;
        }
        share();
        smoothed += (delivered() - smoothed) * 0.2;
        long now = time.now();
        if (!hang) {
            work();
            expire(now);
        }
        boolean second = now / SECOND != (now - TICK) / SECOND;
        if (second && (smoothed < 0.98 || wasShort)) {
            wasShort = smoothed < 0.98;
            double share = wasShort ? smoothed : 1;
            perGateway().forEach((gateway, session) -> later(born, gateway, l -> l.delivered(session, share)));
        }
        if (spec.reports().notePeriod() > 0 && now - lastNotes >= spec.reports().notePeriod()) {
            lastNotes = now;
            LoadReport report = new LoadReport(noisy(linkUse), noisy(uplink.use()));
            perGateway().forEach((gateway, session) -> later(born, gateway, l -> l.load(session, report)));
        }
        time.after(TICK, () -> tick(born));
    }

    private Map<Integer, String> perGateway() {
        Map<Integer, String> one = new LinkedHashMap<>();
        for (Held h : held.values()) {
            if (h.playing && listeners.containsKey(h.gateway)) {
                one.putIfAbsent(h.gateway, h.name);
            }
        }
        return one;
    }

    private void later(int born, int gateway, java.util.function.Consumer<Listener> note) {
        time.after(spec.reports().noteDelay() + notesLate, () -> {
            Listener listener = listeners.get(gateway);
            if (born == life && !hang && listener != null) {
                note.accept(listener);
            }
        });
    }

    /** Sessions from which no segment was fetched for the lease are over. */
    private void expire(long now) {
        List<Held> silent = null;
        for (Held h : held.values()) {
            if (h.playing && now - h.lastSeen > spec.lease()) {
                silent = silent == null ? new ArrayList<>() : silent;
                silent.add(h);
            }
        }
        if (silent != null) {
            for (Held h : silent) {
                held.remove(h.name);
                h.over = true;
                tape.put("host", "over", "host", spec.id(), "session", h.name, "why", "lease");
            }
            share();
        }
    }
}
