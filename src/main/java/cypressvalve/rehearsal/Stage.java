package cypressvalve.rehearsal;

import cypressvalve.accesslog.AccessLog;
import cypressvalve.config.GatewaySettings;
import cypressvalve.config.HostFile;
import cypressvalve.config.Service;
import cypressvalve.front.hls.SessionUris;
import cypressvalve.host.HostLimits;
import cypressvalve.model.Plan;
import cypressvalve.run.GatewayNode;
import cypressvalve.session.Clock;
import cypressvalve.standin.HostSpec;
import cypressvalve.standin.ListServer;
import cypressvalve.standin.MediaHostServer;
import cypressvalve.standin.Player;
import cypressvalve.standin.Uplink;
import cypressvalve.tape.Tape;
import cypressvalve.trouble.DayScript;
import java.io.IOException;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.GeneralSecurityException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import java.util.stream.IntStream;

/** All parts of a day on loopback: racks, media hosts, the list, gateways. Ports are picked by the system. */
public final class Stage implements AutoCloseable {
    /** How long the judge lets what a gateway did take to reach the recorded sockets. */
    private static final long SLACK = 250_000_000L;
    /** Time past the abandon time in which an answer still counts, as the rules have it. */
    private static final long ANSWER_GRACE = 40_000_000L;
    private static final double RATED = 1;
    /** Gateways started this soon after the hosts begin with the day; those started later do not. */
    private static final long BEGINNING = 1_000_000_000L;
    private static final long URI_LIFE_S = 43_200;

    private final DayScript day;
    private final Tape tape;
    private final Path accessLogs;
    private final GatewaySettings.Limits limits;
    private GatewaySettings.Entitlement entitlement;
    private final List<Uplink> uplinks = new ArrayList<>();
    private final List<MediaHostServer> hosts = new ArrayList<>();
    private final double[] weights;
    private final String[] states;
    private final ListServer list;
    private final Map<Integer, GatewayNode> gateways = new HashMap<>();
    private final Map<Integer, String> uris = new java.util.concurrent.ConcurrentHashMap<>();
    private final Path keys;
    private final AtomicReference<Throwable> failure = new AtomicReference<>();
    private final Adoption adoption;
    private int lives;
    /** Hosts that run when the day begins count as having run for long. */
    private long openedAt = Long.MAX_VALUE;

    public Stage(DayScript day, Tape tape) throws IOException {
        this(day, tape, null);
    }

    /** @param accessLogs the directory of the gateways' and media hosts' access logs, null for none */
    public Stage(DayScript day, Tape tape, Path accessLogs) throws IOException {
        this(day, tape, accessLogs, GatewaySettings.Limits.DEFAULT);
    }

    /** @param limits of each gateway */
    public Stage(DayScript day, Tape tape, Path accessLogs, GatewaySettings.Limits limits) throws IOException {
        this.accessLogs = accessLogs;
        this.limits = limits;
        this.day = day;
        adoption = new Adoption(day);
        this.tape = tape;
        keys = Files.createTempFile("cypressvalve-keys", ".json");
        Files.writeString(keys, SessionUris.freshKeys());
        terms(day, tape, SLACK, ANSWER_GRACE);
        Service service = day.service();
        Random chance = new Random(day.seed() * 17 + 3);
        for (int i = 0; i < service.fleet().racks(); i++) {
            uplinks.add(new Uplink(day.hosts().uplink() <= 0 ? 1e15
                : day.hosts().uplink() * spread(day.hosts().uplinkSpread(), chance)));
        }
        weights = new double[day.hosts().count()];
        states = new String[day.hosts().count()];
        list = new ListServer(tape);
        for (int i = 0; i < day.hosts().count(); i++) {
            double link = day.hosts().link() * spread(day.hosts().linkSpread(), chance);
            weights[i] = RATED;
            states[i] = "active";
            MediaHostServer host = new MediaHostServer(spec(i, link), uplinks.get(day.rackOf(i)), tape,
                accessLogs == null ? null : new AccessLog(accessLogs.resolve("host-" + i + ".log")));
            host.start(true);
            hosts.add(host);
        }
        list.change(IntStream.range(0, hosts.size()).mapToObj(this::entry).toList(), 0);
    }

    private static double spread(double by, Random chance) {
        return 1 + by * (2 * chance.nextDouble() - 1);
    }

    private HostSpec spec(int i, double link) {
        DayScript.Hosts h = day.hosts();
        return spec(new HostFile(i, 0, true, link, 0, h.cores(), h.queue(), h.work(), h.vary(), h.lease(), h.noise(),
            day.seed() * 1009 + i, null, day.service()));
    }

    /** What a stand-in media host needs to know, from its settings. */
    public static HostSpec spec(HostFile file) {
        Service service = file.service();
        Service.Rules rules = service.rules();
        Map<String, HostSpec.PlanSpec> plans = new LinkedHashMap<>();
        service.plans().forEach((name, row) -> plans.put(name, new HostSpec.PlanSpec(row.factor(), file.work())));
        Map<String, Boolean> live = new HashMap<>();
        service.titles().forEach((key, row) -> live.put(key, row.live()));
        double places = service.fleet().places().values().iterator().next();
        return new HostSpec(file.id(), file.link(), (int) places, file.cores(), file.queue(), service.ladder(),
            service.joinShare(), file.vary(), service.segment(), file.lease(),
            new HostSpec.Cold(rules.coldTime(), rules.coldShare(), rules.fallMultiple(), rules.fallTime()),
            new HostSpec.Reports(service.reports().via() == Service.Via.ANSWERS,
                service.reports().via() == Service.Via.PROBE, service.reports().notePeriod(),
                service.reports().noteDelay(), file.noise()), plans, live, file.seed());
    }

    /** Writes what the judge has to know of a day. */
    public static void terms(DayScript day, Tape tape, long slack, long answerGrace) {
        Service.Rules rules = day.service().rules();
        Map<String, Object> plans = new LinkedHashMap<>();
        day.service().plans().forEach((name, p) -> plans.put(name, Map.of("once", p.effect() == Plan.Effect.ONCE,
            "floor", p.floor(), "seats", p.seats(), "startup", p.startup(), "abandon", p.abandon())));
        tape.put("rehearsal", "terms", "day", day.name(), "seed", day.seed(), "gateways", day.gateways().count(),
            "hosts", day.hosts().count(), "segment", day.service().segment(), "plans", plans,
            "drainGrace", rules.drainGrace(), "answerGrace", answerGrace, "slack", slack,
            "budgetFloor", rules.budgetFloor(), "budgetShare", rules.budgetShare(),
            "budgetOver", rules.budgetOver());
    }

    private ListServer.Entry entry(int i) {
        MediaHostServer host = hosts.get(i);
        Service.Fleet fleet = day.service().fleet();
        long started = host.startedAt();
        return new ListServer.Entry(i, "http://127.0.0.1:" + host.port(), states[i], weights[i],
            started < openedAt ? 0 : started, i, fleet.places().keySet().iterator().next(),
            day.zoneOfRack(day.rackOf(i)));
    }

    /** Gateways started from now on let viewers in by tokens. */
    public void entitle(GatewaySettings.Entitlement by) {
        entitlement = by;
    }

    /** Starts all gateways and waits until each has its list. */
    public void startGateways() throws InterruptedException {
        openedAt = tape.now();
        for (int i = 0; i < day.gateways().count(); i++) {
            startGateway(i);
        }
        for (GatewayNode node : gateways.values()) {
            if (!node.awaitList(10, TimeUnit.SECONDS)) {
                throw new IllegalStateException("a gateway got no list in 10 s");
            }
        }
    }

    /** Starts a gateway of that number, or starts it anew. */
    public synchronized GatewayNode startGateway(int number) {
        GatewaySettings settings = new GatewaySettings(number, day.gateways().count(),
            day.zoneOfGateway(number), "127.0.0.1", 0, day.seed() * 7919 + number + 100_003L * lives++, URI.create(list.uri()), keys, accessLogs == null
                ? null : accessLogs.resolve("gateway-" + number + ".log"), tape.now() < openedAt + BEGINNING, 0, 43_200_000_000_000L,
            limits, HostLimits.DEFAULT, day.service(), entitlement);
        GatewayNode node = new GatewayNode(settings, Clock.anchored(), cause -> {
            failure.compareAndSet(null, cause);
            tape.put("gateway", "down", "gateway", number, "why", String.valueOf(cause));
        });
        tape.put("gateway", "up", "gateway", number);
        node.start();
        gateways.put(number, node);
        uris.put(number, "http://127.0.0.1:" + node.port());
        return node;
    }

    /** Kills a gateway with no word to anybody. Viewers go on asking where it was. */
    public synchronized void killGateway(int number) {
        GatewayNode node = gateways.remove(number);
        if (node != null) {
            tape.put("gateway", "down", "gateway", number, "why", "killed");
            node.kill();
        }
    }

    /**
     * Lets a viewer's session play before the day begins, on a holder that has room for it.
     *
     * @return the gateway and the path of its media playlist, or null if no holder has room or no seat is free
     */
    public Map.Entry<Integer, String> adopt(Player.Viewer viewer, Random chance) throws GeneralSecurityException {
        Adoption.Adopted adopted = adoption.of(viewer, chance,
            hosts.stream().map(h -> (Adoption.Host) h::adopt).toList());
        return adopted == null ? null : Map.entry(adopted.gateway(), new SessionUris(read(keys)).path(
            new SessionUris.Named(viewer.title(), adopted.id(), tape.now() / 1_000_000_000L + URI_LIFE_S))
            + "/media.m3u8");
    }

    private static String read(Path file) {
        try {
            return Files.readString(file);
        } catch (IOException e) {
            throw new java.io.UncheckedIOException(e);
        }
    }

    /** The list hears of a host's state after the delay. */
    public void listed(int host, String state, long delay) {
        states[host] = state;
        list.change(List.of(entry(host)), delay);
    }

    public DayScript day() {
        return day;
    }

    public Tape tape() {
        return tape;
    }

    public List<MediaHostServer> hosts() {
        return hosts;
    }

    public List<Uplink> uplinks() {
        return uplinks;
    }

    public ListServer list() {
        return list;
    }

    /** Where a gateway of that number was last heard of, or null. */
    public String gatewayUri(int number) {
        return uris.get(number);
    }

    /** A gateway that runs, or null. */
    public synchronized GatewayNode gateway(int number) {
        return gateways.get(number);
    }

    /** What made a gateway's decisions fail, or null. */
    public Throwable failure() {
        return failure.get();
    }

    @Override
    public synchronized void close() throws IOException {
        gateways.values().forEach(GatewayNode::kill);
        gateways.clear();
        hosts.forEach(MediaHostServer::close);
        list.close();
        Files.deleteIfExists(keys);
    }
}
