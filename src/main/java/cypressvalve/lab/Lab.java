package cypressvalve.lab;

import cypressvalve.config.HostFile;
import cypressvalve.config.Service;
import cypressvalve.fleet.ListEntry;
import cypressvalve.host.HostAddress;
import cypressvalve.judge.Finding;
import cypressvalve.judge.Judge;
import cypressvalve.model.Departure;
import cypressvalve.model.MediaHost;
import cypressvalve.rehearsal.Adoption;
import cypressvalve.rehearsal.Stage;
import cypressvalve.rehearsal.Summary;
import cypressvalve.session.CoreEvents;
import cypressvalve.standin.Player;
import cypressvalve.tape.Tape;
import cypressvalve.tape.TapeRecord;
import cypressvalve.trouble.Crowd;
import cypressvalve.trouble.DayScript;
import cypressvalve.trouble.Struck;
import cypressvalve.trouble.TroublePlayer;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.DoubleConsumer;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;
import java.util.stream.IntStream;

/**
 * A day in simulated time: the gateways' own core and Control, the stand-ins' models without sockets. The same day and
 * seed give the same tape to the last byte but for the sessions' names, which are drawn to be unguessable.
 */
public final class Lab implements Struck {
    private static final long SECOND = 1_000_000_000L;
    /** Any time will do; this one lies on a turn's beginning. */
    private static final long BEGINS = 1_800_000_000L * SECOND;
    /** On loopback a message takes about so long, as measured by bench/path. */
    private static final long ONE_WAY = 300_000L;
    private static final long SLACK = 250_000_000L;
    private static final long ANSWER_GRACE = 40_000_000L;
    private static final long BEGINNING = SECOND;

    private final DayScript day;
    private final Policy policy;
    private final List<Crowd.Coming> crowd;
    private final Simulation time = new Simulation(BEGINS);
    private final Tape tape;
    private final List<LabUplink> uplinks = new ArrayList<>();
    private final List<LabHost> hosts = new ArrayList<>();
    private final MediaHost.State[] states;
    private final LabList list;
    private final Map<Integer, LabGateway> gateways = new HashMap<>();
    private final RandomGenerator chance;
    private final Player.Habits habits;
    private final Judge judge = new Judge();
    private final Summary summary = new Summary();
    private long openedAt = Long.MAX_VALUE;
    private int lives;
    private Throwable failure;
    private final Map<Departure, Long> departures = new EnumMap<>(Departure.class);
    private final CoreEvents events = new CoreEvents() {
        @Override
        public void departed(Departure what) {
            departures.merge(what, 1L, Long::sum);
        }
    };
    private Tape kept;
    /** What is told before anybody can ask for a file: terms, and each host's start. */
    private final List<TapeRecord> early = new ArrayList<>();
    private boolean begun;

    /** A day with a tape of its own clock; see {@link #tape()}. */
    public Lab(DayScript day) {
        this(day, Policy.CONTROL);
    }

    /** @param policy who decides; anything but Control is for comparison */
    public Lab(DayScript day, Policy policy) {
        this(day, policy, Crowd.of(day));
    }

    /** @param crowd who comes when, such as a trace's viewers */
    public Lab(DayScript day, Policy policy, List<Crowd.Coming> crowd) {
        this.day = day;
        this.crowd = crowd;
        this.policy = policy;
        tape = Tape.heard(time::now);
        tape.also(judge::accept);
        tape.also(summary::accept);
        tape.also(r -> {
            if (!begun) {
                early.add(r);
            }
        });
        chance = RandomGeneratorFactory.of("L64X128MixRandom").create(day.seed());
        DayScript.Viewers v = day.viewers();
        habits = new Player.Habits(v.returns(), v.comeLeast(), v.comeMost(), v.honour(), v.buffer(), v.starve(),
            v.silent(), v.retries());
        Stage.terms(day, tape, SLACK, ANSWER_GRACE);
        Service service = day.service();
        Random spread = new Random(day.seed() * 17 + 3);
        for (int i = 0; i < service.fleet().racks(); i++) {
            uplinks.add(new LabUplink(day.hosts().uplink() <= 0 ? 1e15
                : day.hosts().uplink() * spread(day.hosts().uplinkSpread(), spread)));
        }
        states = new MediaHost.State[day.hosts().count()];
        list = new LabList(time, tape, ONE_WAY);
        DayScript.Hosts h = day.hosts();
        for (int i = 0; i < h.count(); i++) {
            double link = h.link() * spread(h.linkSpread(), spread);
            states[i] = MediaHost.State.ACTIVE;
            LabHost host = new LabHost(time, Stage.spec(new HostFile(i, 0, true, link, 0, h.cores(), h.queue(),
                h.work(), h.vary(), h.lease(), h.noise(), day.seed() * 1009 + i, null, service)),
                uplinks.get(day.rackOf(i)), tape);
            host.start(true);
            hosts.add(host);
        }
        list.change(IntStream.range(0, hosts.size()).mapToObj(this::entry).toList(), 0);
        time.runUntil(time.now());
    }

    private static double spread(double by, Random chance) {
        return 1 + by * (2 * chance.nextDouble() - 1);
    }

    private ListEntry entry(int i) {
        long started = hosts.get(i).startedAt();
        return new ListEntry(new HostAddress(i, "lab", 1 + i), states[i], 1, started < openedAt ? 0 : started, i,
            day.service().fleet().places().keySet().iterator().next(), day.zoneOfRack(day.rackOf(i)));
    }

    /**
     * Plays the day to its end and a little longer, until every request has had its time.
     *
     * @param progress told the share played so far
     * @return findings by rule; empty lists where the rule was kept
     */
    public Map<Integer, List<Finding>> play(DoubleConsumer progress) {
        begun = true;
        early.clear();
        Map<Crowd.Coming, Adoption.Adopted> resumed = new HashMap<>();
        Adoption adoption = new Adoption(day);
        Random first = new Random(day.seed() * 7 + 1);
        for (Crowd.Coming c : crowd) {
            Adoption.Adopted session = c.resumes() ? adoption.of(c.viewer(), first, hosts) : null;
            if (session != null) {
                resumed.put(c, session);
            }
        }
        openedAt = time.now();
        for (int i = 0; i < day.gateways().count(); i++) {
            gateway(i, true);
        }
        // All have their list and what hosts carry for them.
        time.runUntil(time.now() + 20 * ONE_WAY);
        tape.put("rehearsal", "begins");
        long began = time.now();
        new TroublePlayer(day, this, time::after, tape).play();
        for (Crowd.Coming c : crowd) {
            LabViewer viewer = new LabViewer(this, c.viewer());
            Adoption.Adopted adopted = resumed.get(c);
            if (adopted != null) {
                LabGateway gateway = gateways.get(adopted.gateway());
                Front.Playing session = gateway.front().playing(adopted.id());
                time.after(0, session == null ? viewer::start : () -> viewer.resume(gateway, session));
            } else {
                time.after(c.at(), viewer::start);
            }
        }
        long longest = day.service().plans().values().stream().mapToLong(p -> p.abandon()).max().orElse(0);
        long length = day.length() + longest + SECOND;
        for (long at = SECOND; at < length + SECOND && failure == null; at += SECOND) {
            time.runUntil(began + Math.min(at, length));
            progress.accept(Math.min(1, at / (double) length));
        }
        tape.put("rehearsal", "ends");
        if (kept != null) {
            try {
                kept.close();
            } catch (java.io.IOException e) {
                throw new java.io.UncheckedIOException(e);
            }
        }
        if (failure != null) {
            throw new IllegalStateException("a gateway's decisions failed", failure);
        }
        return judge.finish();
    }

    Simulation time() {
        return time;
    }

    /** Keeps the tape in a file too, closed when the day is over; before the day is played. */
    public void keep(java.nio.file.Path file) throws java.io.IOException {
        kept = Tape.file(file);
        early.forEach(kept::copy);
        tape.also(kept::copy);
    }

    /** What was told before a reader could be added, in order; for readers that are added now. */
    public List<TapeRecord> early() {
        return List.copyOf(early);
    }

    /** The run's tape, in simulated time; readers may be added before the day is played. */
    public Tape tape() {
        return tape;
    }

    /** What the day came to. */
    public Summary summary() {
        return summary;
    }

    /** How often gateways departed from the ordinary path, by which way. */
    public Map<Departure, Long> departures() {
        return departures;
    }

    /** Events run so far. */
    public long events() {
        return time.ran();
    }

    Service service() {
        return day.service();
    }

    Player.Habits habits() {
        return habits;
    }

    RandomGenerator chance() {
        return chance;
    }

    long oneWay() {
        return ONE_WAY;
    }

    int drawGateway() {
        return chance.nextInt(day.gateways().count());
    }

    /** The gateway of that number, or null while it is down. */
    LabGateway gateway(int number) {
        return gateways.get(number);
    }

    LabHost host(int number) {
        return hosts.get(number);
    }

    private void listed(int host, MediaHost.State state, long delay) {
        states[host] = state;
        list.change(List.of(entry(host)), delay);
    }

    // What troubles strike.

    @Override
    public int hosts() {
        return hosts.size();
    }

    @Override
    public int racks() {
        return uplinks.size();
    }

    @Override
    public void crash(int host) {
        hosts.get(host).crash();
        listed(host, MediaHost.State.GONE, day.hosts().notice());
    }

    @Override
    public void restart(int host) {
        if (!hosts.get(host).fallen()) {
            hosts.get(host).start(false);
            listed(host, MediaHost.State.ACTIVE, day.hosts().add());
        }
    }

    @Override
    public void hang(int host, boolean on) {
        hosts.get(host).hang = on;
    }

    @Override
    public void errors(int host, double share) {
        hosts.get(host).errors = share;
    }

    @Override
    public void answersLost(int host, boolean on) {
        hosts.get(host).answersLost = on;
    }

    @Override
    public void notesLater(int host, long by) {
        hosts.get(host).notesLate += by;
    }

    @Override
    public void link(int host, double part) {
        hosts.get(host).linkPart = part;
    }

    @Override
    public void uplink(int rack, double part) {
        uplinks.get(rack).part = part;
    }

    @Override
    public void drain(int host) {
        listed(host, MediaHost.State.DRAINING, day.hosts().add());
    }

    @Override
    public void listStale(long by) {
        list.stale = by;
    }

    @Override
    public void listEmpty(boolean on) {
        if (on) {
            list.dropAll();
        } else {
            list.republish();
        }
    }

    @Override
    public void gateway(int number, boolean up) {
        if (up) {
            tape.put("gateway", "up", "gateway", number);
            gateways.put(number, new LabGateway(time, day.service(), number, day.gateways().count(), day.zoneOfGateway(number),
                day.seed() * 7919 + number + 100_003L * lives++, hosts, list, ONE_WAY,
                time.now() < openedAt + BEGINNING, policy, events, cause -> failure = failure == null ? cause : failure));
        } else {
            LabGateway gateway = gateways.remove(number);
            if (gateway != null) {
                tape.put("gateway", "down", "gateway", number, "why", "killed");
                gateway.kill();
            }
        }
    }
}
