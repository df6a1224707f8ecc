package cypressvalve;

import cypressvalve.model.*;
import java.util.*;
import java.util.function.*;
import java.util.random.*;
import java.util.stream.IntStream;

/**
 * Every decision of one gateway. The caller gives the time by at(), tells what happened through one of the
 * public methods, then calls settle(): the rules below are gone through in order until none fires. Control
 * acts through the interface Gateway (Gateway.java) alone and keeps its state in the plain objects of
 * cypressvalve.model. The ordinary path is the design page's (docs/design.md); each departure says so.
 */
public final class Control {
    private final Settings settings;
    private final Gateway gateway;
    private final RandomGenerator chance;
    private final TreeMap<Long, MediaHost> hosts = new TreeMap<>();
    private final TreeMap<Integer, Rack> racks = new TreeMap<>();
    private final List<Playback> open = new ArrayList<>();
    private final Set<Playback> playing = new LinkedHashSet<>();
    private final TreeMap<Long, Playback> untold = new TreeMap<>();
    private final Set<MediaHost> used = new LinkedHashSet<>();
    private final ArrayDeque<Playback> latest = new ArrayDeque<>();
    private final Samples taken = new Samples(1024);
    private final Samples further = new Samples(256);
    private int lists;
    private final double leastStep;
    private long begun;
    /** Counts what changes for which steps up are wished, but for what a host itself carries. */
    private long wishes;
    private long now;
    private long startedAt;
    private boolean beganWithDay;
    private long wakeAt = Long.MIN_VALUE;
    private final WorkBudget looks = new WorkBudget(MOST_LOOKS, BEAT);
    private boolean mustFollow;
    private double price;
    private Plan worst;
    private double linkScale;
    private long priceAt = Long.MIN_VALUE / 2;
    private double usual;
    private long usualAt = Long.MIN_VALUE;

    private final List<BooleanSupplier> rules = List.of(
        rule(() -> mustFollow ? now : null, this::follow),
        rule(() -> first(open, pb -> now >= giveUpAt(pb)), this::answer),
        rule(() -> first(open, pb -> !pb.onHost() && now >= pb.waitUntil), this::place),
        rule(this::overfull, group -> step(group, -1)),
        rule(this::underused, group -> step(group, rungsUp(group))),
        rule(this::untold, this::tellRung),
        rule(this::unheard, this::ask),
        rule(() -> nextLook() < (wakeAt > now ? wakeAt : Long.MAX_VALUE) ? nextLook() : null, this::wake));

    public Control(Settings settings, long seed, long time, Gateway gateway) {
        this.settings = settings;
        this.gateway = gateway;
        this.now = this.startedAt = time;
        mustFollow = settings.listOnRequest;
        leastStep = settings.plans.stream().flatMapToDouble(p -> IntStream.range(1, p.rates.length)
            .mapToDouble(r -> p.rates[r] - p.rates[r - 1])).min().orElse(0);
        chance = RandomGeneratorFactory.of("L64X128MixRandom").create(seed);
    }

    public void at(long time) {
        now = time;
        usualAt = Long.MIN_VALUE;
    }

    public void settle() {
        while (rules.stream().anyMatch(BooleanSupplier::getAsBoolean)) { }
    }

    public void listed(List<MediaHost> named, boolean whole) {
        lists++;
        hosts.values().forEach(h -> h.state = whole && !named.contains(h) ? MediaHost.State.GONE : h.state);
        if (linkScale <= 0 && !named.isEmpty()) {
            // Told sizes are rough one by one; their mean is known, from all links and the number of cells.
            double mean = named.stream().mapToDouble(h -> h.link).average().orElse(1);
            linkScale = settings.fleet > 0 ? settings.fleet / settings.cells / mean : 1;
        }
        for (MediaHost host : named) {
            host.link *= linkScale;
            hosts.put(host.id, host);
            racks.computeIfAbsent(Math.floorMod(host.cell, settings.racks), Rack::new).take(host);
        }
        hosts.values().removeIf(h -> h.state == MediaHost.State.GONE && !h.carries() && h.rack.drop(h));
    }

    public void listFailed() {
        mustFollow = settings.listOnRequest;
    }

    public void requested(Playback pb) {
        taken.add(now, 1);
        pb.rung = pb.rungTold = pb.plan.floor;
        open.add(pb);
    }

    public void handedOver(Playback pb, MediaHost host) {
        beganWithDay = true;
        pb.rung = pb.rungTold = pb.plan.floor;
        pb.tries.add(new SetupTry(pb, host, 0, now));
        carry(pb.lastTry());
        begin(pb);
        pb.rungSince -= life(STEP_UP_AFTER) / 2; // Low rungs handed over need not wait in full.
    }

    public void started(SetupTry setupTry) {
        setupTry.host.failures.add(now, 0);
        if (setupTry.host.failedAt > setupTry.host.startedAt) {
            // It may have started at any time up to now: cold for as long as settings allow.
            setupTry.host.failedAt = Long.MIN_VALUE;
            setupTry.host.coldUntil = now + settings.coldTime;
        }
        open.remove(setupTry.playback);
        begin(setupTry.playback);
    }

    /** A try was given up and may still be out: its host is blamed at once, what follows waits for cameBack(). */
    public void givenUp(SetupTry setupTry, Verdict verdict) {
        setupTry.blamed = true;
        blame(setupTry.host, verdict, BLAMED.contains(verdict));
    }

    public void cameBack(SetupTry setupTry, Verdict verdict, boolean finished, double link, double uplink) {
        MediaHost host = setupTry.host;
        boolean wasPlaying = setupTry.playback.playing;
        setupTry.verdict = verdict;
        host.drop(setupTry);
        if (!host.carries()) {
            used.remove(host);
        }
        host.tally(now, settings.joinShare);
        // Reports in answers are noisy and late: taken only where no note has come; to be turned away is one.
        boolean full = verdict == Verdict.FULL && settings.fullFrom > 0;
        host.fullAt = verdict == Verdict.FULL && !full ? now : host.fullAt;
        if (full || host.load.since(now - life(SHORT_LIFE)) == 0) {
            takeReport(host, full ? settings.fullFrom : link, uplink, now - life(REPORT_AGE));
        }
        if (!setupTry.blamed) {
            blame(host, verdict, BLAMED.contains(verdict) && (!wasPlaying || verdict == Verdict.BROKEN));
        }
        if (playing.remove(setupTry.playback)) {
            joined(setupTry.playback, -1);
        }
        if (finished || wasPlaying) {
            over(setupTry.playback);
        }
    }

    private void blame(MediaHost host, Verdict verdict, boolean failed) {
        host.failedAt = UNREACHED.contains(verdict) ? now : host.failedAt;
        if (failed) {
            host.failures.add(now, 1);
        }
    }

    public void delivered(SetupTry setupTry, double share) {
        MediaHost host = setupTry.host;
        host.draw = chance.nextDouble();
        host.asked.add(now - settings.noteDelay - life(SMOOTHED), 1 / Math.max(share, 0.05));
        // An uplink is short for all behind it: a few weak links in a rack say nothing of it.
        List<MediaHost> used = host.rack.hosts.stream().filter(MediaHost::carries).toList();
        long shortOnes = used.stream().filter(h -> shortLoad(h) > 0).count();
        if (shortOnes > 1 && shortOnes * 3 >= used.size() * 2 && linkLoad(host) < 1) {
            double given = rackAsked(host.rack) / settings.uplink * share;
            host.rack.found.add(now, Math.max(0.1, Math.min(1, given)));
            departs(true, Departure.FOUND_UPLINK);
        }
    }

    public void rungTold(SetupTry setupTry, int rung) {
        int known = Math.max(0, Math.min(rung, setupTry.playback.plan.rates.length - 1));
        setupTry.host.setRung(setupTry.playback, known);
        setupTry.playback.rungTold = known;
        setupTry.host.quietWhile = -1;
        setupTry.host.tally(now, settings.joinShare);
    }

    public void loadTold(SetupTry setupTry, double link, double uplink) {
        boolean fresh = now - setupTry.playback.playingSince < settings.noteDelay / 2;
        takeReport(setupTry.host, link, uplink, fresh ? now : now - settings.noteDelay);
    }

    public void probed(MediaHost host, Verdict verdict, double link, double uplink) {
        host.probeOut = false;
        takeReport(host, link, uplink, now - life(REPORT_AGE));
        blame(host, verdict, verdict != Verdict.OK);
        open.forEach(pb -> pb.waitUntil = Math.min(pb.waitUntil, now));
    }

    private static <T> BooleanSupplier rule(Supplier<T> condition, Consumer<T> effect) {
        return () -> {
            T subject = condition.get();
            if (subject != null) {
                effect.accept(subject);
            }
            return subject != null;
        };
    }

    /** Where the list must be asked for, a standing subscription is kept. */
    private void follow(long at) {
        mustFollow = false;
        gateway.followList(true);
    }

    /** How often a playback that waits for its turn is looked at again: well under any startup target. */
    private static final long BEAT = 50_000_000;
    /** How often playing ones are, besides at every word of them: a part of what a step takes to show. */
    private static final long SLOW_BEAT = 500_000_000;
    /** Playbacks looked at in a beat for what they wish: where thousands play, looks must not take the loop's time. */
    private static final int MOST_LOOKS = 40_000;

    /** When something may be due without a word from outside; a gateway that holds nothing is left alone. */
    private long nextLook() {
        return Math.min(playing.isEmpty() ? Long.MAX_VALUE : now + SLOW_BEAT, open.stream()
            .mapToLong(pb -> Math.min(giveUpAt(pb), pb.onHost() ? Long.MAX_VALUE : pb.waitUntil))
            .min().orElse(Long.MAX_VALUE));
    }

    private void wake(long at) {
        wakeAt = at;
        gateway.wakeAt(at);
    }

    // Rule 4: a media host that may be cold takes a few set-ups at a time, gateways taking turns.

    /** Part of the told limit that is used: a set-up may weigh more than the usual one. */
    private static final double COLD_PART = 0.6;
    /** Part of a slot that is used: under a half, for clocks that differ and set-ups on their way. */
    private static final double SLOT_PART = 0.4;

    /** How far gateways' clocks may differ, a set-up's way included, for any window to meet one turn. */
    public static long clockSlack(long fallTime) {
        return (long) (2 * fallTime * (0.5 - SLOT_PART));
    }

    /**
     * Time is cut into slots that belong to one gateway each, by number, of which the first part is used: any
     * window meets one such part and so what it may hold at the lowest warmth, however many gateways there
     * are. A gateway that is only unsure of the start spaces its set-ups instead.
     */
    private boolean paceAllows(MediaHost host) {
        double window = settings.fallMultiple * host.places * settings.coldShare * COLD_PART
            * settings.fallTime / Math.max(1, settings.coldTime);
        if (!host.mayBeCold(now, settings.coldTime)) {
            // A gateway that did not begin with the day has an old list: any host may have just started.
            return beganWithDay || now >= startedAt + settings.coldTime || host.sent.size() == 0
                || now - host.sent.time(0) >= settings.fallTime * settings.gateways / window;
        }
        long slot = 2 * Math.max(1, settings.fallTime);
        long begin = now - Math.floorMod(now, slot);
        return Math.floorMod(now / slot, settings.gateways) == settings.me && now - begin < slot * SLOT_PART
            && host.sent.since(begin) < Math.max(1, (int) window);
    }

    // Rules 1 and 2: one answer, in time; nothing set up twice that must not be.

    /** Verdicts that prove that the try never ran. */
    private static final Set<Verdict> NEVER_RAN =
        EnumSet.of(Verdict.FULL, Verdict.NO_CONNECTION, Verdict.NOT_SENT);
    /** When to come back: long enough for a playback to end somewhere or a report to arrive. */
    private static final long COME_BACK = 500_000_000;
    /** Time kept before the abandon time: a few rounds of the wire. */
    private static final long MARGIN = 40_000_000;

    private static SetupTry mayHaveRun(Playback pb) {
        return first(pb.tries, t -> t.verdict == null || !NEVER_RAN.contains(t.verdict));
    }

    /** When a playback that does not play yet is given up: worth nothing past its startup target. */
    private long giveUpAt(Playback pb) {
        return Math.min(pb.arrivedAt + pb.plan.startupTarget, pb.abandonAt - MARGIN);
    }

    /** The final answer: a rejection where the plan allows the viewer to come again, else a failure. */
    private void answer(Playback pb) {
        SetupTry ran = mayHaveRun(pb);
        boolean rejectable = ran == null || pb.plan.effect == Plan.Effect.REPEATABLE
            || pb.plan.effect == Plan.Effect.BY_KEY && pb.plan.scope == Plan.Scope.ALL;
        if (pb.onHost() && settings.mayWithdraw) {
            gateway.withdraw(pb.lastTry());
        }
        over(pb);
        if (rejectable) {
            gateway.reject(pb, settings.mayNameComeBack ? Math.min(COME_BACK, settings.longestComeBack) : 0);
        } else {
            gateway.fail(pb);
        }
    }

    private boolean mayTry(Playback pb, MediaHost host) {
        SetupTry ran = mayHaveRun(pb);
        boolean again = switch (pb.plan.effect) {
            case REPEATABLE -> true;
            case ONCE -> ran == null;
            case BY_KEY -> ran == null || now <= ran.sentAt + pb.plan.keyWindow
                && (pb.plan.scope != Plan.Scope.ZONE || ran.host.zone.equals(host.zone))
                && (pb.plan.scope != Plan.Scope.CELL || ran.host.cell == host.cell);
        };
        return again && !pb.onHost() && host.state == MediaHost.State.ACTIVE && paceAllows(host);
    }

    /** Rule 6: further tries within their budget. */
    private boolean withinBudget(Playback pb) {
        int sent = further.since(now - settings.extraWindow);
        int asked = taken.since(Math.max(startedAt, now - settings.extraWindow));
        return pb.tries.isEmpty() || settings.extraFloor < 0
            || sent < 256 && sent + 1 <= settings.extraFloor + settings.extraPerPlayback * asked;
    }

    /** Rule 5: seats, counted from the set-up to its end. */
    private boolean seatFree(Playback pb) {
        return pb.plan.seats <= 0 || pb.title.carried.getOrDefault(pb.plan, 0) < pb.plan.seats;
    }

    private static final Set<Verdict> UNREACHED = EnumSet.of(Verdict.NO_CONNECTION, Verdict.BROKEN);
    private static final Set<Verdict> BLAMED =
        EnumSet.of(Verdict.ERROR, Verdict.TIMEOUT, Verdict.NO_CONNECTION, Verdict.BROKEN);
    /** How long failures count: about as long as troubles last. */
    private static final long FAILURE_LIFE = 15_000_000_000L;
    /** One try of the share over the median: one failure alone is enough, one of several is not. */
    private static final double ILL_OVER = 0.3;
    /** After so long without a failure one playback at a time tries it again. */
    private static final long TRIAL_AFTER = 3_000_000_000L;

    private boolean ill(MediaHost host, double median) {
        return host.failureShare(now - FAILURE_LIFE) > median + ILL_OVER && (now - host.failures.time(0) < TRIAL_AFTER
            || host.hasTryOut());
    }

    private double medianFailure() {
        double[] shares = hosts.values().stream().filter(h -> h.state == MediaHost.State.ACTIVE)
            .mapToDouble(h -> h.failureShare(now - FAILURE_LIFE)).sorted().toArray();
        return shares.length == 0 ? 0 : shares[shares.length / 2];
    }

    // Load, and the marks of the design page.

    /** What is measured holds as long as told below for playbacks of 40 s and more, as it was chosen. */
    private static final double USUAL_LENGTH = 40e9;
    private double lengths = 1;

    /** Guards against trust in what short playbacks have long undone: all lives shrink with their length. */
    private long life(long ofUsual) {
        return (long) (ofUsual * lengths);
    }

    private static final double T_LOW = 0.6;
    private static final double T_HIGH = 0.85;
    private static final double P_MAX = 0.5;
    /** Reports in answers are refreshed some times a second and arrive late. */
    private static final long REPORT_AGE = 400_000_000;
    /** A report's weight falls to none over this time: a quarter of a usual playback has changed. */
    private static final long REPORT_LIFE = 10_000_000_000L;
    /** Short delivery is told each second while it lasts; after three without word it is over. */
    private static final long SHORT_LIFE = 3_000_000_000L;
    /** The told share is smoothed: what is done in this time before does not show in it yet. */
    private static final long SMOOTHED = 700_000_000;
    /** Under this share of the rate viewers notice. */
    private static final double FULL_SHARE = 0.98;

    private void takeReport(MediaHost host, double link, double uplink, long at) {
        if (!Double.isNaN(link)) {
            host.load.add(at, link);
            host.draw = chance.nextDouble();
        }
        if (!Double.isNaN(uplink)) {
            host.rack.load.add(at, uplink);
            host.rack.draw = chance.nextDouble();
        }
    }

    private boolean known(Samples load) {
        return load.since(now - life(REPORT_LIFE)) > 0;
    }

    /** The last report brought up to now by our own changes; the guess takes over as it ages. */
    private double told(Samples load, Samples own, double capacity, double guess) {
        if (!known(load)) {
            return guess;
        }
        double trust = 1 - (double) (now - load.time(0)) / life(REPORT_LIFE);
        double brought = load.value(0) + (own.newest() - own.at(load.time(0))) / capacity;
        return Math.max(0, trust * brought + (1 - trust) * guess);
    }

    /** Least use that a host counts with in the mean: one empty host says little of the others. */
    private static final double LEAST_USE = 0.1;
    /** Told hosts that one playback of ours counts for: both estimates are off by a half at a handful. */
    private static final double OWN_COUNTS = 1.5;

    /**
     * Link use without reports: own playbacks, and the other gateways' part of the fleet's mean. That is of
     * what was told of late and of our own use times the gateways; harmonic, as hosts are told of in answers
     * and probes about as often as they are used. It holds however few hosts one of many gateways meets.
     */
    private double guess(MediaHost host) {
        if (usualAt != now) {
            usualAt = now;
            double own = hosts.values().stream().mapToDouble(h -> h.own.newest()).sum() * settings.gateways
                / hosts.values().stream().mapToDouble(h -> h.link).sum();
            double[] told = hosts.values().stream().filter(h -> known(h.load))
                .mapToDouble(h -> 1 / Math.max(LEAST_USE, h.load.value(0))).toArray();
            double counts = OWN_COUNTS * playing.size() + 1;
            usual = (counts + told.length) / (counts / Math.max(LEAST_USE, own) + Arrays.stream(told).sum());
        }
        return host.own.newest() / host.link + usual * (settings.gateways - 1) / settings.gateways;
    }

    private double linkLoad(MediaHost host) {
        return told(host.load, host.own, host.link, guess(host));
    }

    /** What is asked over what arrives while delivery is short, else 0; all gateways ease off alike. */
    private double shortLoad(MediaHost host) {
        return host.asked.newest() <= 1 / FULL_SHARE ? 0 : eased(host.asked, host.own);
    }

    private double load(MediaHost host) {
        return Math.max(linkLoad(host), shortLoad(host));
    }

    /** What its links ask of the uplink; those that nobody tells of are not taken to fill it past T_l. */
    private double rackAsked(Rack rack) {
        double links = rack.hosts.stream().mapToDouble(h -> h.link).sum();
        return rack.hosts.stream().filter(h -> h.state != MediaHost.State.GONE)
            .mapToDouble(h -> h.link * Math.min(linkLoad(h), known(h.load)
            ? Double.MAX_VALUE : T_LOW * settings.uplink / links)).sum();
    }

    /** A weak uplink stays weak for long: what was found of it holds for about the life of a playback. */
    private static final long FOUND_FOR = 30_000_000_000L;

    private double rackLoad(Rack rack) {
        double up = settings.uplink * (rack.found.since(now - life(FOUND_FOR)) > 0 ? rack.found.newest() : 1);
        return told(rack.load, rack.own, settings.uplink, rackAsked(rack) / up);
    }

    private double added(Playback pb, MediaHost host, int rung) {
        return pb.plan.rates[rung] * (host.joins(pb, rung) ? settings.joinShare : 1);
    }

    private void departs(boolean when, Departure what) {
        if (when) {
            gateway.departed(what);
        }
    }

    /**
     * Departure: streams run out before links do where many join, and no report tells of them. A host that
     * turned us away, other than for its link, counts as full for about a report's life: a place may free
     * sooner, but to any of the other gateways.
     */
    private boolean full(MediaHost host) {
        return now - host.fullAt < life(REPORT_LIFE);
    }

    /** An uplink may be fuller than a link: it sums some ten times the playbacks and swings less. */
    private static final double UPLINK_MORE = 0.08;

    private boolean room(MediaHost host, double kb, double mark) {
        return !full(host) && load(host) + kb / host.link <= mark
            && rackLoad(host.rack) + kb / settings.uplink <= mark + UPLINK_MORE;
    }

    /** Revenue a second per kB of the step up to that rung, joined viewers counted together. */
    private double stepValue(Playback pb, int rung) {
        long joined = !pb.plan.live ? 1 : Math.max(1, pb.title.playing.getOrDefault(pb.plan, 0));
        double share = (1 + settings.joinShare * (joined - 1)) / joined;
        double kb = (pb.plan.rates[rung] - pb.plan.rates[rung - 1]) * share;
        double more = settings.rungRevenue[rung] - settings.rungRevenue[rung - 1];
        double weight = pb.plan == worst ? 1 + settings.worstPlanWeight * settings.plans.size() : 1;
        return pb.plan.revenue * weight * more / Math.max(kb, 1e-9);
    }

    /** So many playbacks of our own count for what one uses as much as the ladder's middle does. */
    private static final double FEW = 10;
    /** Playbacks, over or not, whose wishes stand for the fleet's: a few lives of a small gateway. */
    private static final int LATEST = 64;

    /**
     * Departure: set-ups at the top rung would leave no room for the next (docs/design.md, fair rung). What a
     * playback may use is the fleet's room for one: by what ours use now over the fleet's use, drawn to the
     * ladder's middle the fewer we hold, as a handful that uses little would else stay low, and one high.
     * It fills to T_h, or to T_l where no notes tell of playing links: to be short costs more than low rungs.
     */
    private double price() {
        if (now - priceAt < BEAT) {
            return price;
        }
        priceAt = now;
        double before = price;
        Plan worstBefore = worst;
        worst = worstServed();
        List<MediaHost> up = hosts.values().stream().filter(h -> h.state == MediaHost.State.ACTIVE).toList();
        double links = up.stream().mapToDouble(h -> h.link).sum();
        double asked = up.stream().mapToDouble(h -> linkLoad(h) * h.link).sum();
        double own = up.stream().mapToDouble(h -> h.own.newest()).sum();
        double uplinks = racks.values().stream().mapToDouble(r -> !known(r.load)
            ? asked / racks.size() / settings.uplink : rackLoad(r)).average().orElse(0) - UPLINK_MORE;
        double drawn = FEW / (playing.size() + FEW);
        double middle = latest.stream().mapToDouble(pb -> (pb.plan.live ? settings.joinShare : 1)
            * pb.plan.rates[Math.min(pb.highest(), pb.plan.rates.length / 2)]).average().orElse(0);
        double allowed = latest.size() * Math.pow(own / Math.max(playing.size(), 1), 1 - drawn)
            * Math.pow(middle, drawn) * (settings.notePeriod > 0 ? T_HIGH : T_LOW)
            / Math.max(Math.max(asked / links, uplinks), 1e-3);
        List<double[]> steps = new ArrayList<>();
        for (Playback pb : latest) {
            double least = Double.MAX_VALUE;
            double share = pb.plan.live ? settings.joinShare : 1;
            allowed -= pb.plan.rates[pb.plan.floor] * share;
            for (int r = pb.plan.floor + 1; r <= pb.highest(); r++) {
                least = Math.min(least, stepValue(pb, r));
                steps.add(new double[] {least, (pb.plan.rates[r] - pb.plan.rates[r - 1]) * share});
            }
        }
        steps.sort(Comparator.comparingDouble(s -> -s[0]));
        int i = 0;
        while (i < steps.size() && allowed >= steps.get(i)[1]) {
            allowed -= steps.get(i++)[1];
        }
        price = i < steps.size() ? steps.get(i)[0] : 0;
        wishes += price != before || worst != worstBefore ? 1 : 0;
        return price;
    }

    /** The plan whose playing ones earn the least part of the revenue that they could. */
    private Plan worstServed() {
        Map<Plan, DoubleSummaryStatistics[]> sums = new IdentityHashMap<>();
        settings.plans.forEach(p -> sums.put(p, new DoubleSummaryStatistics[] {
            new DoubleSummaryStatistics(), new DoubleSummaryStatistics()}));
        for (Playback pb : playing) {
            DoubleSummaryStatistics[] plan = sums.get(pb.plan);
            plan[0].accept(settings.rungRevenue[pb.rung]);
            plan[1].accept(settings.rungRevenue[pb.highest()]);
        }
        return settings.plans.stream().min(Comparator.comparingDouble(p -> {
            double most = sums.get(p)[1].getSum();
            return most <= 0 ? 1 : sums.get(p)[0].getSum() / most;
        })).orElse(null);
    }

    private int fairRung(Playback pb) {
        return IntStream.rangeClosed(pb.plan.floor + 1, pb.highest())
            .takeWhile(r -> stepValue(pb, r) >= price()).max().orElse(pb.plan.floor);
    }

    /** Holders that may be sent this playback, home first: own zone, then a hash that all gateways share. */
    private List<MediaHost> holders(Playback pb) {
        Title title = pb.title;
        if (title.listed != lists) {
            title.listed = lists;
            title.holders = hosts.values().stream().filter(h -> h.state == MediaHost.State.ACTIVE
                && title.isHeldIn(h.cell, settings.cells))
                .sorted(Comparator.comparing((MediaHost h) -> !h.zone.equals(settings.zone))
                .thenComparingLong(h -> title.hash(h.id))).toList();
        }
        return title.holders;
    }

    private void place(Playback pb) {
        List<MediaHost> all = holders(pb);
        double median = medianFailure();
        List<MediaHost> well = all.stream().filter(h -> pb.tries.stream().noneMatch(t -> t.host == h)
            && mayTry(pb, h) && !ill(h, median)).toList();
        if (well.isEmpty()) {
            // Every holder is ill or tried: the least bad is better than a rejection.
            well = all.stream().filter(h -> mayTry(pb, h) && shortLoad(h) == 0)
                .sorted(Comparator.comparingDouble(h -> h.failureShare(now - FAILURE_LIFE))).limit(1).toList();
        }
        int top = fairRung(pb);
        departs(top < pb.highest(), Departure.FAIR_RUNG);
        departs(well.stream().anyMatch(this::full), Departure.FULL_OF_STREAMS);
        MediaHost host = well.isEmpty() || pb.tries.size() >= settings.mostTries || !withinBudget(pb)
            || !seatFree(pb) ? null : choose(pb, well, top);
        if (host == null && pb.tries.isEmpty() && now < pb.arrivedAt + pb.plan.startupTarget / 2
            && all.stream().anyMatch(h -> !paceAllows(h) && !ill(h, median))) {
            pb.waitUntil = now + BEAT;
        } else if (host == null) {
            answer(pb);
        } else if (settings.mayProbe && settings.reportsOnProbe && !pb.probed && !host.probeOut
            && host.load.since(now - life(SHORT_LIFE)) == 0 && now - host.probedAt > life(SHORT_LIFE)) {
            pb.probed = true;
            pb.waitUntil = now + PROBE_WAIT;
            ask(host);
        } else {
            send(pb, host, rungAt(pb, host, top));
        }
    }

    /** A probe takes a round trip; one that takes longer than this is not waited for. */
    private static final long PROBE_WAIT = 100_000_000;

    /**
     * Departure: a title that one untold link cannot carry, or one host's places where no full link turns
     * away first, has several homes, the next in the same order, and each gateway keeps to one by its own
     * number: with many gateways all would send to the first long after it is full. Viewers that share
     * streams stay on as few as carry them.
     */
    private MediaHost home(Playback pb, List<MediaHost> well) {
        MediaHost first = well.get(0);
        long near = well.stream().filter(h -> h.zone.equals(first.zone)).count();
        double held = pb.title.playing.values().stream().mapToInt(n -> n).sum() * (double) settings.gateways;
        double hosts = known(first.load) ? 0 : !pb.plan.live ? near / 2
            : held * settings.joinShare * pb.plan.rates[pb.highest() / 2] / (T_HIGH * first.link);
        double byPlaces = settings.fullFrom > 0 ? 0 : held / (T_HIGH * first.places);
        int several = (int) Math.max(1, Math.min(near, Math.max(hosts, byPlaces)));
        departs(several > 1, Departure.ONE_HOME_OF_SEVERAL);
        return well.get(Math.floorMod(pb.title.hash(settings.me), several));
    }

    private MediaHost choose(Playback pb, List<MediaHost> well, int top) {
        MediaHost home = home(pb, well);
        boolean homeHasRoom = room(home, added(pb, home, top), T_HIGH);
        double p = P_MAX * Math.max(0, Math.min(1, (load(home) - T_LOW) / (T_HIGH - T_LOW)));
        if (joinRung(pb, home) >= 0 || homeHasRoom && chance.nextDouble() >= p) {
            return home;
        }
        for (int rung = top; rung >= pb.plan.floor; rung--) {
            int b = rung;
            List<MediaHost> roomy = well.stream().filter(h -> (h != home || b < top)
                && room(h, added(pb, h, b), T_HIGH)).toList();
            List<MediaHost> light = roomy.stream().filter(h -> load(h) < T_LOW || h.joins(pb, b)).toList();
            MediaHost least = (light.isEmpty() ? roomy : light).stream()
                .min(Comparator.comparingDouble(h -> added(pb, h, b) / (h.link * (1 - load(h)))))
                .orElse(null);
            if (least != null) {
                return least;
            }
            if (homeHasRoom) {
                return home;
            }
        }
        departs(true, Departure.LAST_ROOM);
        // Departure: nobody is turned away on a guess, nor while the lowest rung still fits a told link.
        return well.stream().sorted(Comparator.comparingLong((MediaHost h) -> full(h) ? h.fullAt : 0)
            .thenComparingDouble(this::load)).filter(h -> shortLoad(h) == 0
            && (!known(h.load) || load(h) + added(pb, h, pb.plan.floor) / h.link <= FULL_SHARE)
            && (!known(h.rack.load)
            || rackLoad(h.rack) + added(pb, h, pb.plan.floor) / settings.uplink <= FULL_SHARE))
            .findFirst().orElse(null);
    }

    /** The highest rung at which the playback has room to share a stream there, else below 0. */
    private int joinRung(Playback pb, MediaHost host) {
        return IntStream.rangeClosed(pb.plan.floor, pb.highest()).filter(r -> host.joins(pb, r)
            && room(host, added(pb, host, r), T_HIGH)).max().orElse(-1);
    }

    /** Departure: on a host that none tells of, rungs go half way between the marks: its use is a guess. */
    private int rungAt(Playback pb, MediaHost host, int top) {
        double mark = known(host.load) ? T_HIGH : (T_LOW + T_HIGH) / 2;
        departs(!known(host.load), Departure.UNTOLD_RUNG);
        int joinAt = joinRung(pb, host);
        return joinAt >= 0 ? joinAt : IntStream.rangeClosed(pb.plan.floor, top)
            .filter(r -> room(host, added(pb, host, r), mark)).max().orElse(pb.plan.floor);
    }

    /** Part of the time left that a try gets while another may follow: one more fits after it. */
    private static final double TRY_PART = 0.45;

    private void send(Playback pb, MediaHost host, int rung) {
        pb.rung = rung;
        if (rung != pb.rungTold) {
            tellRung(pb);
        }
        if (!pb.tries.isEmpty()) {
            further.add(now, 1);
        }
        long left = giveUpAt(pb) - now;
        boolean last = pb.tries.size() + 1 >= settings.mostTries || pb.plan.effect == Plan.Effect.ONCE;
        pb.tries.add(new SetupTry(pb, host, pb.tries.size(), now));
        carry(pb.lastTry());
        host.sent.add(now, 1);
        gateway.setUp(pb, host, Math.max(1, last ? left : (long) (left * TRY_PART)));
    }

    /** What a step of a live title is worth hangs on how many join it, wherever they play. */
    private void joined(Playback pb, int more) {
        pb.title.playing.merge(pb.plan, more, Integer::sum);
        if (pb.plan.live) {
            used.stream().filter(h -> pb.title.isHeldIn(h.cell, settings.cells)).forEach(h -> h.quietWhile = -1);
        }
    }

    private void carry(SetupTry setupTry) {
        setupTry.host.carry(setupTry);
        setupTry.host.tally(now, settings.joinShare);
        used.add(setupTry.host);
    }

    private void begin(Playback pb) {
        pb.answered = true;
        pb.lastTry().host.begin(pb);
        pb.playingSince = pb.rungSince = now;
        pb.turn = begun++;
        playing.add(pb);
        joined(pb, 1);
        pb.lastTry().host.quietWhile = -1;
        latest.add(pb);
        if (latest.size() > LATEST) {
            latest.poll();
        }
        lengths = Math.min(1, latest.stream().mapToLong(p -> p.hint).filter(h -> h > 0).average()
            .orElse(USUAL_LENGTH) / USUAL_LENGTH);
    }

    /** The playback is over, or its viewer left. */
    public void over(Playback pb) {
        pb.answered = true;
        open.remove(pb);
    }

    /** Step down above this: beyond it the spread of true rates makes delivery short. */
    private static final double STEP_DOWN_AT = 1.02;
    /** What is eased off leaves this use: to just full, true rates would soon call for the next step. */
    private static final double EASE_TO = 0.92;
    /** Step up only where the step leaves this much free, so that it is not taken back. */
    private static final double STEP_UP_TO = 0.8;
    /** A rung is kept at least so long before a step up: several times what a step costs. */
    private static final long STEP_UP_AFTER = 8_000_000_000L;

    /** Told, not guessed: a step on a wrong guess costs as much and must be taken back. */
    private double pressed(MediaHost host) {
        return Math.max(shortLoad(host), settings.notePeriod > 0 ? eased(host.load, host.own) : 0);
    }

    /**
     * A step of more than this gateway's part of the excess is made with a chance of that part over it, drawn
     * once a report: steps are coarse, and gateways that all round up would leave a link half empty.
     */
    private boolean overfull(double load, Samples own, double draw, Playback pb) {
        return load > STEP_DOWN_AT && own.newest() * (1 - EASE_TO / load)
            > draw * stepKb(pb, pb.lastTry().host.sharing(pb), pb.rung);
    }

    /**
     * The newest told load, less the part that this gateway has taken off since: each gateway eases off by
     * the same part, so that together they take off the excess once and not once each.
     */
    private double eased(Samples load, Samples own) {
        if (load.since(now - settings.noteDelay - life(SMOOTHED) - SHORT_LIFE) == 0) {
            return 0;
        }
        double then = own.at(load.time(0));
        return load.value(0) * (then > 0 ? Math.min(1, own.newest() / then) : 1);
    }

    private List<Playback> overfull() {
        Playback least = null;
        for (MediaHost host : used) {
            double link = pressed(host);
            double uplink = eased(host.rack.load, host.rack.own);
            for (Playback pb : Math.max(link, uplink) > STEP_DOWN_AT ? host.playing() : List.<Playback>of()) {
                if (pb.rung > pb.plan.floor && (least == null || before(pb, least))
                    && (overfull(link, host.own, host.draw, pb)
                    || overfull(uplink, host.rack.own, host.rack.draw, pb))) {
                    least = pb;
                }
            }
        }
        return least == null ? null : group(least);
    }

    /** Whether its step down costs less revenue than the other's; of equals the one that began first goes. */
    private boolean before(Playback pb, Playback other) {
        int order = Double.compare(stepValue(pb, pb.rung), stepValue(other, other.rung));
        return order < 0 || order == 0 && pb.turn < other.turn;
    }

    /** Those that share the playback's stream, which step together, in the order in which they began. */
    private List<Playback> group(Playback pb) {
        return !pb.plan.live ? List.of(pb) : pb.lastTry().host.on(pb, pb.rung).stream()
            .filter(o -> o.playing).sorted(Comparator.comparingLong(o -> o.turn)).toList();
    }

    private void step(List<Playback> group, int by) {
        departs(true, by < 0 ? Departure.EASING_OFF : Departure.STEPPING_UP);
        MediaHost host = group.get(0).lastTry().host;
        for (Playback pb : group) {
            host.setRung(pb, pb.rung + by);
            pb.rungSince = now;
            untold.put(pb.turn, pb);
        }
        host.quietWhile = -1;
        host.tally(now, settings.joinShare);
    }

    private Playback untold() {
        while (!untold.isEmpty()) {
            Playback pb = untold.firstEntry().getValue();
            if (pb.rung != pb.rungTold && playing.contains(pb)) {
                return pb;
            }
            untold.pollFirstEntry();
        }
        return null;
    }

    /** Rule 5's guard: whatever a rule wished, no rung leaves that is under the floor or over the highest. */
    private void tellRung(Playback pb) {
        pb.rungTold = Math.max(pb.plan.floor, Math.min(pb.rung, pb.highest()));
        if (pb.tries.isEmpty()) {
            pb.rung = pb.rungTold;
        } else {
            pb.lastTry().host.setRung(pb, pb.rungTold);
        }
        gateway.setRung(pb, pb.rung);
    }

    private double stepKb(Playback pb, int sharing, int rung) {
        double[] rates = pb.plan.rates;
        return (rates[rung] - rates[rung - 1]) * (1 + settings.joinShare * (sharing - 1));
    }

    /** Whether it has been under its highest rung for long, and has time left. */
    private boolean mayWantUp(Playback pb) {
        return pb.rung < pb.highest() && now - pb.rungSince >= life(STEP_UP_AFTER)
            && (pb.hint <= 0 || pb.hint - (now - pb.playingSince) > life(STEP_UP_AFTER));
    }

    private boolean wantsUp(Playback pb) {
        return mayWantUp(pb) && shortLoad(pb.lastTry().host) == 0 && pb.rung < fairRung(pb);
    }

    /** Those that go up together: of one live stream, those whose fair rung is as high. */
    private record Step(Title title, Plan plan, int rung, int fair) { }

    private List<Playback> stepping(Playback pb, Map<Step, List<Playback>> known) {
        return !pb.plan.live ? List.of(pb) : known.computeIfAbsent(new Step(pb.title, pb.plan, pb.rung, fairRung(pb)),
            step -> group(pb).stream().filter(o -> o.highest() >= step.fair).toList());
    }

    private List<Playback> underused() {
        List<MediaHost> low = used.stream().filter(h -> h.mayWantUp() && shortLoad(h) == 0).toList();
        if (low.stream().anyMatch(h -> !looks.take(h.load(), now) || h.playing().stream().anyMatch(this::mayWantUp))) {
            price(); // Looked at whenever one may want up, whatever room its host has.
        }
        Playback first = null;
        List<Playback> chosen = null;
        for (MediaHost host : low) {
            boolean known = host.quietWhile == wishes && now < host.quietUntil;
            if (!fits(host, known ? host.leastWish : leastStep) || !looks.take(host.load(), now)) {
                continue; // Spares a look at what it carries: none wants up, or our part has no room.
            }
            long next = Long.MAX_VALUE;
            double least = Double.MAX_VALUE;
            Map<Step, List<Playback>> groups = new HashMap<>();
            for (Playback pb : host.playing()) {
                if (pb.rung < pb.highest() && now - pb.rungSince < life(STEP_UP_AFTER)) {
                    next = Math.min(next, pb.rungSince + life(STEP_UP_AFTER));
                } else if (wantsUp(pb)) {
                    List<Playback> group = stepping(pb, groups);
                    double kb = wishKb(group) + stepKb(pb, group.size(), pb.rung + 1);
                    least = Math.min(least, kb);
                    if ((first == null || pb.turn < first.turn) && fits(host, kb)) {
                        first = pb;
                        chosen = group;
                    }
                }
            }
            host.quietWhile = wishes;
            host.quietUntil = next;
            host.leastWish = least;
        }
        return chosen;
    }

    /** Where reports come on probes only, lowest rungs would stay on empty links: one in a report's life. */
    private MediaHost unheard() {
        return !settings.mayProbe || !settings.reportsOnProbe ? null : first(used, h -> !h.probeOut
            && now - h.probedAt > life(REPORT_LIFE) && h.mayWantUp() && looks.take(h.load(), now)
            && h.playing().stream().anyMatch(pb -> pb.rung == pb.plan.floor && wantsUp(pb)));
    }

    private void ask(MediaHost host) {
        host.probeOut = true;
        host.probedAt = now;
        gateway.probe(host);
    }

    /** How many rungs those that share a stream may go up at once, towards their fair rung. */
    private int rungsUp(List<Playback> group) {
        Playback pb = group.get(0);
        MediaHost host = pb.lastTry().host;
        int most = Math.min(fairRung(pb), group.stream().mapToInt(Playback::highest).min().orElse(0));
        int rung = pb.rung;
        double kb = wishKb(group);
        while (rung < most && fits(host, kb + stepKb(pb, group.size(), rung + 1))) {
            kb += stepKb(pb, group.size(), ++rung);
        }
        return rung - pb.rung;
    }

    /** What a group that leaves others behind on its stream adds before it steps: a stream of its own. */
    private double wishKb(List<Playback> group) {
        Playback pb = group.get(0);
        boolean leaves = pb.lastTry().host.sharing(pb) > group.size();
        return leaves ? pb.plan.rates[pb.rung] * (1 - settings.joinShare) : 0;
    }

    private boolean fits(MediaHost host, double kb) {
        double mark = Double.isFinite(settings.uplink) && !known(host.rack.load) ? T_LOW : STEP_UP_TO;
        return kb < Double.MAX_VALUE && myPart(host, kb, mark) && room(host, kb, mark);
    }

    /**
     * Room that was told is shared as easing off is: each gateway takes as much of it as it has of the use,
     * the first step rounded by chance once a report, so that any number of them fill it once.
     */
    private boolean myPart(MediaHost host, double kb, double mark) {
        if (!known(host.load)) {
            return false;
        }
        double then = host.own.at(host.load.time(0));
        double part = then * mark / Math.max(host.load.value(0), 0.01) - host.own.newest();
        return part >= kb * (host.own.newest() > then ? 1 : host.draw);
    }

    private static <T> T first(Collection<T> items, Predicate<T> wanted) {
        return items.stream().filter(wanted).findFirst().orElse(null);
    }
}
