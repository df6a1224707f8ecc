package cypressvalve.judge;

import cypressvalve.tape.TapeRecord;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The six rules, read from a tape alone: what the sockets of players, media hosts and the list service carried. It
 * knows nothing of a gateway's inside and shares no code with it. Records come in the order of time.
 *
 * <p>What a gateway does reaches the sockets that are recorded a little later, and in no fixed order between two
 * hosts; so a break must still stand after a slack, which the tape's terms state, and after what the host in question
 * says that its own loop stood still meanwhile.
 */
public final class Judge {
    /** The rules' names, by number less one. */
    public static final List<String> RULES = List.of("no playback lost", "no set-up twice", "drains kept",
        "no cold host pushed over", "terms kept", "further tries within budget");
    private static final int MOST_FINDINGS = 20;
    /** The status of a refusal that names a time to come again. */
    private static final int REFUSED = 503;
    /** Chance's part in the count of a cold host's set-ups, as the rule states it. */
    private static final int COLD_SLACK = 2;
    /** A host's word that it stood still comes after it did: verdicts wait so long for it. */
    private static final long HEARD_BY = 2_000_000_000L;

    private record Plan(boolean once, int floor, int seats) { }

    /** A request and its answers. */
    private static final class Asked {
        TapeRecord ask;
        TapeRecord answer;
        long due;
    }

    /** A try at a host, from its arrival to its end there. */
    private static final class Tried {
        TapeRecord setup;
        String name;
        String playback;
        int gateway;
        String title;
        String plan;
        long host;
        /** When it ended there; no time yet while it has not. */
        long overAt = Long.MAX_VALUE;
        /** What it came to, if that proves that it never ran. */
        boolean neverRan;
    }

    /** Something that is a break only if it still stands at that time. */
    private record Pending(long due, Runnable check) { }

    private static final class Host {
        boolean cold;
        long startedAt;
        long coldTime;
        double coldShare;
        double multiple;
        long window;
        double places;
        final Deque<TapeRecord> arrivals = new ArrayDeque<>();
        final Set<Integer> knowers = new HashSet<>();
        /** When its loop ran again, and for how long it had stood still. */
        final Deque<long[]> stalls = new ArrayDeque<>();
    }

    private final Map<Integer, List<Finding>> findings = new LinkedHashMap<>();
    private final Map<String, Plan> plans = new HashMap<>();
    private final Map<String, Asked> asked = new LinkedHashMap<>();
    private final Map<String, Tried> tries = new LinkedHashMap<>();
    private final Map<String, List<Tried>> byPlayback = new HashMap<>();
    private final Map<String, List<Tried>> paidBySid = new HashMap<>();
    private final Map<String, TapeRecord> withdrawn = new HashMap<>();
    private final Map<Long, Host> hosts = new HashMap<>();
    private final Set<Integer> downGateways = new HashSet<>();
    private final Map<Integer, Long> lastDown = new HashMap<>();
    private final Map<Integer, Long> lastUp = new HashMap<>();
    private final Map<String, TapeRecord> unsendable = new HashMap<>();
    private final Map<Integer, Deque<TapeRecord>> further = new HashMap<>();
    private final Map<Integer, Deque<Long>> taken = new HashMap<>();
    private final Deque<Pending> pending = new ArrayDeque<>();
    private long grace;
    private long answerGrace;
    private long slack;
    private double budgetFloor = -1;
    private double budgetShare;
    private long budgetOver;
    private boolean hasTerms;
    private long last = Long.MIN_VALUE;
    private boolean finishing;
    private long count;

    public Judge() {
        for (int rule = 1; rule <= RULES.size(); rule++) {
            findings.put(rule, new ArrayList<>());
        }
    }

    private void broken(int rule, String what, TapeRecord... records) {
        List<Finding> of = findings.get(rule);
        if (of.size() < MOST_FINDINGS) {
            of.add(new Finding(rule, what, List.of(records)));
        }
    }

    /** Takes the next record. */
    public void accept(TapeRecord r) {
        count++;
        last = Math.max(last, r.t());
        if (r.is("host", "stalled")) {
            // Heard before verdicts that fall due at the same moment: it speaks of the time before.
            hosts.computeIfAbsent(r.whole("host"), id -> new Host()).stalls
                .add(new long[] {r.t(), r.whole("nanos")});
        }
        while (!pending.isEmpty() && pending.peekFirst().due <= r.t()) {
            pending.poll().check.run();
        }
        switch (r.by() + "/" + r.kind()) {
            case "rehearsal/terms" -> terms(r);
            case "player/ask" -> ask(r);
            case "player/answer" -> answer(r);
            case "player/no-answer" -> noAnswer(r);
            case "player/unreached" -> asked.remove(r.text("ask"));
            case "gateway/up" -> {
                downGateways.remove((int) r.whole("gateway"));
                lastUp.put((int) r.whole("gateway"), r.t());
                unsendable.keySet().removeIf(k -> k.startsWith(r.whole("gateway") + "/"));
                further.remove((int) r.whole("gateway"));
                taken.remove((int) r.whole("gateway"));
            }
            case "gateway/down" -> {
                downGateways.add((int) r.whole("gateway"));
                lastDown.put((int) r.whole("gateway"), r.t());
                asked.values().removeIf(a -> a.answer == null && a.ask.whole("gateway") == r.whole("gateway"));
            }
            case "list/told" -> told(r);
            case "host/up" -> up(r);
            case "host/down" -> down(r);
            case "host/fell" -> {
                fell(r);
                down(r);
            }
            case "host/setup" -> setup(r);
            case "host/adopted" -> {
                Tried t = tried(r);
                byPlayback.computeIfAbsent(t.playback, p -> new ArrayList<>()).add(t);
                tries.put(t.name, t);
            }
            case "host/setup-end" -> ended(r, !r.text("how").equals("started"),
                r.text("how").equals("full") || r.text("how").equals("withdrawn"));
            case "host/release" -> {
                if (!tries.containsKey(r.text("session"))) {
                    withdrawn.put(r.text("session"), r);
                }
                ended(r, true, false);
            }
            case "host/over" -> ended(r, true, false);
            case "host/rung" -> floor(r, r.text("plan"));
            default -> { }
        }
    }

    private void later(long at, Runnable check) {
        pending.add(new Pending(at + slack + HEARD_BY, check)); // The same wait for all, so the queue is in order.
    }

    /** How long a host's loop ran between two times, what it says that it stood still taken off. */
    private long ran(long host, long from, long to) {
        Host h = hosts.get(host);
        return to - from - (h == null ? 0 : h.stalls.stream()
            .mapToLong(s -> Math.max(0, Math.min(to, s[0]) - Math.max(from, s[0] - s[1]))).sum());
    }

    /** Whether a try still stood at that time and its host has run beyond the slack since, the try not ended. */
    private boolean stood(Tried t, long at) {
        return ran(t.host, at, finishing ? t.overAt : Math.min(t.overAt, last)) > slack;
    }

    /** Whether that can't be said yet: the try has not ended, and its host has stood still for most of the time. */
    private boolean open(Tried t, long at) {
        return !finishing && t.overAt == Long.MAX_VALUE && !stood(t, at);
    }

    /** Breaks a rule if more of these tries than allowed stood at that time; looked at again while that is open. */
    private void mostAtOnce(int rule, String what, List<Tried> tried, int allowed, long at) {
        List<Tried> stood = tried.stream().filter(t -> stood(t, at)).toList();
        if (stood.size() > allowed) {
            broken(rule, what, stood.stream().map(t -> t.setup).toArray(TapeRecord[]::new));
        } else if (stood.size() + tried.stream().filter(t -> open(t, at)).count() > allowed) {
            later(last, () -> mostAtOnce(rule, what, tried, allowed, at));
        }
    }

    private void terms(TapeRecord r) {
        hasTerms = true;
        grace = r.whole("drainGrace");
        answerGrace = r.whole("answerGrace");
        slack = r.whole("slack");
        budgetFloor = r.number("budgetFloor");
        budgetShare = r.number("budgetShare");
        budgetOver = r.whole("budgetOver");
        if (r.fields().get("plans") instanceof Map<?, ?> rows) {
            rows.forEach((name, row) -> {
                Map<?, ?> values = (Map<?, ?>) row;
                plans.put((String) name, new Plan(Boolean.TRUE.equals(values.get("once")),
                    ((Number) values.get("floor")).intValue(), ((Number) values.get("seats")).intValue()));
            });
        }
    }

    // Rule 1.

    private void ask(TapeRecord r) {
        Asked a = new Asked();
        a.ask = r;
        a.due = r.t() + r.whole("abandon") + answerGrace + slack;
        asked.put(r.text("ask"), a);
        taken.computeIfAbsent((int) r.whole("gateway"), g -> new ArrayDeque<>()).add(r.t());
    }

    private void answer(TapeRecord r) {
        Asked a = asked.get(r.text("ask"));
        if (a == null) {
            return;
        }
        if (a.answer != null) {
            broken(1, "a request was answered twice", a.ask, a.answer, r);
        }
        a.answer = r;
        if (r.t() > a.due) {
            broken(1, "the answer came after the abandon time", a.ask, r);
        }
        refused(a, r);
    }

    /** Who is refused is asked to come again: never after a paid try that may have run (rule 2). */
    private void refused(Asked a, TapeRecord r) {
        String sid = a.ask.text("sid");
        if (r.whole("status") != REFUSED || sid.isEmpty()
            || !plans.getOrDefault(a.ask.text("plan"), new Plan(false, 0, 0)).once) {
            return;
        }
        for (Tried t : paidBySid.getOrDefault(sid, List.of())) {
            // Its end at the host may be told a little later than the answer.
            later(r.t(), () -> {
                if (!t.neverRan) {
                    broken(2, "a playback was refused though a try paid at set-up may have run", t.setup, r);
                }
            });
        }
    }

    private void noAnswer(TapeRecord r) {
        Asked a = asked.get(r.text("ask"));
        if (a != null && a.answer == null && !died(a, r.t())) {
            asked.remove(r.text("ask"));
            broken(1, "a request taken by a running gateway got no answer", a.ask, r);
        }
    }

    /** Whether the request's gateway died while it was open, or is still down. */
    private boolean died(Asked a, long by) {
        int gateway = (int) a.ask.whole("gateway");
        return downGateways.contains(gateway)
            || lastDown.getOrDefault(gateway, Long.MIN_VALUE) >= a.ask.t() - slack && lastDown.get(gateway) <= by;
    }

    // Rules 2, 3, 5 and 6, and the count of 4.

    private static Tried tried(TapeRecord r) {
        Tried t = new Tried();
        t.setup = r;
        t.name = r.text("session");
        t.playback = r.text("playback");
        t.gateway = (int) r.whole("gateway");
        t.title = r.text("title");
        t.plan = r.text("plan");
        t.host = r.whole("host");
        return t;
    }

    private void setup(TapeRecord r) {
        Tried t = tried(r);
        List<Tried> before = byPlayback.computeIfAbsent(t.playback, p -> new ArrayList<>());
        Plan plan = plans.getOrDefault(t.plan, new Plan(false, 0, 0));
        for (Tried other : before) {
            if (other.name.equals(t.name)) {
                broken(2, "one try was sent twice", other.setup, r);
            } else if (other.overAt == Long.MAX_VALUE) {
                later(r.t(), () -> mostAtOnce(2, "a playback had two tries out at once", List.of(other, t), 1, r.t()));
            }
            if (plan.once && !other.neverRan) {
                broken(2, "a plan paid for at set-up was tried again though a try may have run", other.setup, r);
            }
        }
        before.add(t);
        if (plan.once) {
            // What a gateway wants to be told again of a session ends with the viewer's own id of it.
            String about = r.text("about");
            paidBySid.computeIfAbsent(about.substring(about.lastIndexOf(' ') + 1), sid -> new ArrayList<>()).add(t);
        }
        if (withdrawn.remove(t.name) != null) {
            t.overAt = r.t();
            t.neverRan = true;
        }
        tries.put(t.name, t);
        drains(r, t);
        seats(r, t, plan);
        floor(r, t.plan);
        cold(r, t);
        budget(r, t);
    }

    private void ended(TapeRecord r, boolean over, boolean neverRan) {
        Tried t = tries.get(r.text("session"));
        if (t != null && over) {
            t.overAt = r.t();
            t.neverRan |= neverRan;
            tries.remove(t.name);
        }
    }

    private void told(TapeRecord r) {
        String key = r.whole("gateway") + "/" + r.whole("host");
        if (r.text("state").equals("active")) {
            unsendable.remove(key);
        } else {
            unsendable.putIfAbsent(key, r);
        }
        Host host = hosts.get(r.whole("host"));
        if (host != null && r.whole("startedAt") >= host.startedAt) {
            host.knowers.add((int) r.whole("gateway"));
        }
    }

    private void drains(TapeRecord r, Tried t) {
        TapeRecord told = unsendable.get(t.gateway + "/" + t.host);
        if (told != null && r.t() > told.t() + grace + slack) {
            // A host that stood still records late what reached it before.
            later(r.t(), () -> {
                if (ran(t.host, told.t() + grace, r.t()) > slack) {
                    broken(3, "a set-up went to a host that was told to drain or be gone", told, r);
                }
            });
        }
    }

    private void seats(TapeRecord r, Tried t, Plan plan) {
        if (plan.seats <= 0 || t.overAt != Long.MAX_VALUE) {
            return;
        }
        List<Tried> held = tries.values().stream().filter(o -> o.overAt == Long.MAX_VALUE && o.gateway == t.gateway
            && o.plan.equals(t.plan) && o.title.equals(t.title)).toList();
        if (held.size() > plan.seats) {
            later(r.t(), () -> mostAtOnce(5, "more playbacks of one title and plan than seats", held, plan.seats, r.t()));
        }
    }

    private void floor(TapeRecord r, String plan) {
        if (plans.containsKey(plan) && r.whole("rung") < plans.get(plan).floor) {
            broken(5, "a rung under the plan's floor", r);
        }
    }

    private void budget(TapeRecord r, Tried t) {
        if (budgetFloor < 0 || r.text("try").equals("0")) {
            return;
        }
        Deque<TapeRecord> sent = further.computeIfAbsent(t.gateway, g -> new ArrayDeque<>());
        Deque<Long> asks = taken.computeIfAbsent(t.gateway, g -> new ArrayDeque<>());
        sent.add(r);
        while (sent.peekFirst().t() < r.t() - budgetOver) {
            sent.poll();
        }
        // A request reached the gateway a little before its try reached the host: the slack goes to the gateway.
        while (!asks.isEmpty() && asks.peekFirst() < r.t() - budgetOver - slack) {
            asks.poll();
        }
        if (sent.size() > budgetFloor + budgetShare * asks.size()) {
            broken(6, sent.size() + " further tries on " + asks.size() + " playbacks", r);
        }
    }

    // Rule 4.

    private void up(TapeRecord r) {
        Host h = hosts.computeIfAbsent(r.whole("host"), id -> new Host());
        h.cold = !r.flag("warm") && r.whole("coldTime") > 0;
        h.startedAt = r.t();
        h.coldTime = r.whole("coldTime");
        h.coldShare = r.number("coldShare");
        h.multiple = r.number("multiple");
        h.window = r.whole("window");
        h.places = r.number("places");
        h.arrivals.clear();
    }

    private void down(TapeRecord r) {
        Host h = hosts.computeIfAbsent(r.whole("host"), id -> new Host());
        h.knowers.clear();
        for (Tried t : List.copyOf(tries.values())) {
            if (t.host == r.whole("host")) {
                t.overAt = r.t();
                tries.remove(t.name);
                h.knowers.add(t.gateway); // It saw the break, whatever the list says.
            }
        }
    }

    private boolean knew(Host h, int gateway) {
        return h.knowers.contains(gateway) || lastUp.getOrDefault(gateway, Long.MIN_VALUE) >= h.startedAt;
    }

    private void cold(TapeRecord r, Tried t) {
        Host h = hosts.get(t.host);
        if (h == null || !h.cold) {
            return;
        }
        double age = (r.t() - h.startedAt) / (double) h.coldTime;
        if (age >= 1) {
            h.cold = false;
            return;
        }
        h.arrivals.add(r);
        while (h.arrivals.peekFirst().t() < r.t() - h.window) {
            h.arrivals.poll();
        }
        double warmth = h.coldShare + (1 - h.coldShare) * age;
        double allowed = h.multiple * h.places / h.coldTime * warmth * h.window + COLD_SLACK;
        if (h.arrivals.size() > allowed) {
            pushed(h, r);
        }
    }

    private void fell(TapeRecord r) {
        Host h = hosts.get(r.whole("host"));
        if (h != null) {
            pushed(h, r);
        }
    }

    /** A break only if most of what was sent came from gateways that knew, or might have known, of the start. */
    private void pushed(Host h, TapeRecord r) {
        long knowing = h.arrivals.stream().filter(a -> knew(h, (int) a.whole("gateway"))).count();
        if (knowing * 2 > h.arrivals.size()) {
            broken(4, h.arrivals.size() + " set-ups in the window pushed a cold host", r);
        }
    }

    /** Takes the end of the tape and says which rules are broken, by number; a rule without findings is kept. */
    public Map<Integer, List<Finding>> finish() {
        finishing = true;
        while (!pending.isEmpty()) {
            pending.poll().check.run();
        }
        for (Asked a : asked.values()) {
            if (a.answer == null && !died(a, last) && last > a.due) {
                broken(1, "a request taken by a running gateway got no answer", a.ask);
            }
        }
        finishing = false;
        return findings;
    }

    /** Whether the tape could be judged at all: it stated its terms. */
    public boolean judged() {
        return hasTerms;
    }

    /** How many records were read. */
    public long records() {
        return count;
    }
}
