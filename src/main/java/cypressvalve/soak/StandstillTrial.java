package cypressvalve.soak;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * Plays one {@link StandstillPlan}: hundreds of sessions stand at media hosts that are stopped and go on, while usual clients and crowds ask
 * on. Judged is whether each session's end was told in time.
 */
public final class StandstillTrial implements AutoCloseable {
    private static final int CLIENTS = 10;
    private static final long MEAN_SESSION_MILLIS = 12_000;
    private static final int PATIENCE_MILLIS = 3_000;
    private static final int AIM_MILLIS = 1_500;
    private static final double CANCELS = 0.1;
    private static final int MAX_CANCEL_MILLIS = 300;
    /** The longest that the end of a session may take to its client, and its slack. */
    private static final long LAST_ENDS_MILLIS = 8_100;
    private static final long NANOS_PER_SECOND = 1_000_000_000L;
    private static final String GATEWAY = "gateway";
    /** Lines of the gateway's log that tell of closes of connections to media hosts. */
    private static final String CLOSES = "HOST_CLOS";
    private static final String COUNTS = " viewers' connections ";
    private static final String CONNECTION_EVENT = " HOST_";
    private static final Pattern HOST_FIELD = Pattern.compile("host=[0-9a-f]+");

    /**
     * How a trial went.
     *
     * @param violations sessions whose ends were not told in time, each with its story
     * @param ends of sessions that clients were owed
     * @param endedAtRestarted of those, the ones that were over with their host's process, which another one followed
     * @param endedInVain sessions that stood and that the gateway ended though their clients had not
     * @param closes how often the gateway closed a connection to a media host for each reason, as it logs them
     * @param counts the gateway's lines of counts
     */
    public record Outcome(StandstillPlan plan, List<String> violations, long requests, long served, int ends, long endedAtRestarted,
        long endedInVain, Map<String, Integer> closes,
        List<String> counts) { }

    private record Action(long atNanos, Task task) implements Comparable<Action> {
        @Override
        public int compareTo(Action other) {
            return Long.compare(atNanos, other.atNanos);
        }
    }

    private interface Task {
        void run() throws IOException, InterruptedException;
    }

    private final StandstillPlan plan;
    private final EventRecord record = new EventRecord();
    private final SignalSender signals = new SignalSender();
    private final CoordinatorEmulator coordinator = new CoordinatorEmulator();
    private final List<MediaHostProcess> hosts = new ArrayList<>();
    private final List<ClientEmulator> clients = new ArrayList<>();
    private final PriorityQueue<Action> actions = new PriorityQueue<>();
    private final RandomGenerator chance;
    private GatewayProcess gateway;
    private long ids;
    private int connected;

    private StandstillTrial(StandstillPlan plan) throws IOException {
        this.plan = plan;
        chance = RandomGeneratorFactory.of("L64X128MixRandom").create(plan.seed() + 1);
        ids = chance.nextLong() >>> 16 << 16;
    }

    /** Plays the plan; its files go into that folder. */
    public static Outcome run(StandstillPlan plan, Path dir) throws IOException, InterruptedException {
        try (StandstillTrial trial = new StandstillTrial(plan)) {
            return trial.play(dir);
        }
    }

    private Outcome play(Path dir) throws IOException, InterruptedException {
        start(dir);
        long begin = System.nanoTime();
        schedule(begin);
        Thread limit = limitCore();
        while (!actions.isEmpty()) {
            Action next = actions.poll();
            TimeUnit.NANOSECONDS.sleep(next.atNanos() - System.nanoTime());
            next.task().run();
        }
        for (MediaHostProcess host : hosts) {
            host.resume();
        }
        TimeUnit.MILLISECONDS.sleep(LAST_ENDS_MILLIS); // What is owed for ends until now is told by then.
        limit.interrupt();
        limit.join();
        return outcome();
    }

    private Thread limitCore() {
        Thread limit = new Thread(() -> {
            try {
                if (plan.corePercent() < StandstillPlan.WHOLE_CORE_PERCENT) {
                    gateway.limitCore(plan.corePercent(), Long.MAX_VALUE);
                }
            } catch (IOException e) {
                record.add(Event.Kind.PROCESS_ENDED, "trial", "", String.valueOf(e));
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }, "part of a core");
        limit.setDaemon(true);
        limit.start();
        return limit;
    }

    private void start(Path dir) throws IOException, InterruptedException {
        for (int i = 0; i < plan.hosts(); i++) {
            MediaHostProcess host = new MediaHostProcess("host-" + i, MEAN_SESSION_MILLIS, plan.seed() * 31 + i, plan.habits(), record, signals);
            hosts.add(host);
            coordinator.list(host.name(), host.address(), i);
        }
        Path config = TrialConfig.write(dir.resolve("config.json"), GATEWAY, coordinator, plan.hosts(), AIM_MILLIS, PATIENCE_MILLIS,
            plan.mayTestHosts());
        Files.writeString(config, Files.readString(config).replaceFirst("\"sockets\":[0-9]+", "\"sockets\":" + plan.descriptors())
            .replaceFirst("\"streamsPerConn\":[0-9]+", "\"streamsPerConn\":" + plan.streams()));
        gateway = new GatewayProcess(GATEWAY, config, record, signals);
        for (int i = 0; i < CLIENTS; i++) {
            clients.add(connect());
        }
    }

    private ClientEmulator connect() throws IOException, InterruptedException {
        return new ClientEmulator("client-" + connected++, GATEWAY, gateway.address(), record);
    }

    /** Connected: a gateway may close a connection that carries nothing. */
    private ClientEmulator anyClient() throws IOException, InterruptedException {
        int number = chance.nextInt(clients.size());
        if (clients.get(number).ended()) {
            clients.set(number, connect());
        }
        return clients.get(number);
    }

    private void at(long begin, long millis, Task task) {
        actions.add(new Action(begin + TimeUnit.MILLISECONDS.toNanos(millis), task));
    }

    private void schedule(long begin) {
        for (StandstillPlan.Stop stop : plan.stops()) {
            at(begin, stop.atMillis(), () -> hosts.get(stop.host()).suspend());
            at(begin, stop.atMillis() + stop.lengthMillis(), () -> hosts.get(stop.host()).resume());
        }
        for (int number : plan.killed()) {
            at(begin, plan.killedAtMillis(), () -> hosts.get(number).kill());
            at(begin, plan.killedAtMillis() + StandstillPlan.GONE_TOLD_MILLIS,
                () -> coordinator.publish(hosts.get(number).name(), hosts.get(number).address(), number, "DELETED", 0));
        }
        plan.restarts().restarts().forEach(restart -> schedule(begin, restart));
        for (HostRestarts.GatewayStop stop : plan.restarts().gatewayStops()) {
            at(begin, stop.atMillis(), () -> gateway.suspend());
            at(begin, stop.atMillis() + stop.lengthMillis(), () -> gateway.resume());
        }
        for (int crowd : plan.crowdsAtMillis()) {
            for (int i = 0; i < plan.crowd(); i++) {
                at(begin, crowd + chance.nextInt(StandstillPlan.CROWD_MILLIS), this::ask);
            }
        }
        askOnUntil(begin, begin + TimeUnit.MILLISECONDS.toNanos(StandstillPlan.LENGTH_MILLIS));
    }

    private void schedule(long begin, HostRestarts.Restart restart) {
        MediaHostProcess host = hosts.get(restart.host());
        at(begin, restart.atMillis() - HostRestarts.STANDS_BY_MILLIS, host::prepareSuccessor);
        if (restart.drained()) {
            at(begin, restart.atMillis() - HostRestarts.STANDS_BY_MILLIS,
                () -> coordinator.publish(host.name(), host.address(), restart.host(), "DRAINING", 0));
        }
        if (restart.stoppedMillis() > 0) {
            at(begin, restart.atMillis() - restart.stoppedMillis(), host::suspend);
        }
        at(begin, restart.atMillis(), host::kill);
        at(begin, restart.atMillis() + restart.downMillis(), host::startSuccessor);
    }

    private void askOnUntil(long atNanos, long untilNanos) {
        if (atNanos < untilNanos) {
            actions.add(new Action(atNanos, () -> {
                ask();
                askOnUntil(atNanos + (long) (-Math.log(1 - chance.nextDouble()) / plan.restarts().requestsPerSecond() * NANOS_PER_SECOND), untilNanos);
            }));
        }
    }

    private void ask() throws IOException, InterruptedException {
        ClientEmulator client = anyClient();
        long id = ++ids;
        client.send(new ClientEmulator.SetUp(id, "a", "t", "abcdef", PATIENCE_MILLIS, plan.hosts()));
        if (chance.nextDouble() < CANCELS) {
            at(System.nanoTime(), chance.nextInt(1, MAX_CANCEL_MILLIS), () -> {
                if (!client.ended()) {
                    client.cancel(id);
                }
            });
        }
    }

    private Outcome outcome() {
        List<Event> events = record.events();
        SessionChecker checker = new SessionChecker(events);
        List<String> violations = new ArrayList<>();
        for (SessionChecker.Untold untold : checker.late()) {
            violations.add(story(untold));
        }
        return new Outcome(plan, violations, record.count(Event.Kind.REQUEST_SENT), record.count(Event.Kind.ANSWER_SERVED), checker.judged(),
            endedAtRestarted(events), endedInVain(events), closes(), gateway.log(COUNTS));
    }

    private long endedAtRestarted(List<Event> events) {
        Set<String> restarted = plan.restarts().restarts().stream().map(restart -> hosts.get(restart.host()).name()).collect(Collectors.toSet());
        return events.stream().filter(event -> event.kind() == Event.Kind.SESSION_OVER && event.detail().equals(MediaHostProcess.DIED)
            && restarted.contains(event.party())).count();
    }

    private static long endedInVain(List<Event> events) {
        Set<String> served = requests(events.stream().filter(event -> event.kind() == Event.Kind.ANSWER_SERVED));
        Set<String> endedByClients = requests(events.stream().filter(SessionChecker::endsSession));
        return events.stream().filter(event -> event.kind() == Event.Kind.SESSION_ENDED_BY_GATEWAY && served.contains(event.request())
            && !endedByClients.contains(event.request())).count();
    }

    private static Set<String> requests(Stream<Event> events) {
        return events.map(Event::request).collect(Collectors.toSet());
    }

    private Map<String, Integer> closes() {
        Map<String, Integer> closes = new TreeMap<>();
        for (String line : gateway.log(CLOSES)) {
            closes.merge(line.substring(line.indexOf(CLOSES)).replaceFirst(" .*detail=", " "), 1, Integer::sum);
        }
        return closes;
    }

    private String story(SessionChecker.Untold untold) {
        StringBuilder text = new StringBuilder("NOT_RELEASED " + untold.request() + ", over at " + untold.overMicros() + ", due at "
            + untold.dueMicros());
        untold.story().forEach(event -> text.append("\n  ").append(event));
        gateway.log(untold.request()).forEach(line -> text.append("\n  ").append(line));
        connectionLog(untold.request()).forEach(line -> text.append("\n  gateway: ").append(line));
        untold.story().stream().filter(event -> event.kind() == Event.Kind.SESSION_RELEASED).map(Event::party).distinct()
            .forEach(party -> hosts.stream().filter(host -> host.name().equals(party))
                .forEach(host -> host.notes(untold.request()).forEach(note -> text.append("\n  host: ").append(note))));
        return text.toString();
    }

    /** What the gateway has logged of its connections to the media host that a request was sent to last. */
    private List<String> connectionLog(String request) {
        Optional<String> host = gateway.log(request).stream().map(HOST_FIELD::matcher).filter(Matcher::find).map(Matcher::group)
            .reduce((first, last) -> last);
        return host.map(gateway::log).orElse(List.of()).stream().filter(line -> line.contains(CONNECTION_EVENT)).toList();
    }

    @Override
    public void close() throws IOException, InterruptedException {
        for (ClientEmulator client : clients) {
            client.close();
        }
        if (gateway != null) {
            gateway.close();
        }
        for (MediaHostProcess host : hosts) {
            host.close();
        }
        coordinator.close();
        signals.close();
    }
}
