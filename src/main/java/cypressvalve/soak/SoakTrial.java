package cypressvalve.soak;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;
import java.util.stream.Collectors;

/** Plays one plan with real gateway processes on loopback and judges the record. */
public final class SoakTrial {
    private static final long DOWN_TOLD_MICROS = 6_000_000;
    private static final long SILENT_TOLD_MICROS = 4_000_000;
    private static final long MOVED_TOLD_MICROS = 4_000_000;
    private static final long MICROS_PER_MILLI = 1_000;
    private static final long KILOBYTES_PER_MEGABYTE = 1_024;
    private static final int SERIES_MILLIS = 150;
    /** The list tells of a host that died so much later. */
    private static final int DEATH_LISTED_MILLIS = 400;
    private static final int BAD_CLIENTS = 2;
    private static final int RELOADS = 4;
    private static final int RELOAD_GAP_MILLIS = 30;
    /** Clients begin once the machine is calm behind the start of the gateways, or after this. */
    private static final long CALM_MILLIS = 10_000;
    private static final long LAST_ANSWERS_MILLIS = 1_500;
    /** The longest that the end of a session may take to its client, and its slack. */
    private static final long LAST_ENDS_MILLIS = 8_100;
    private static final long ENDS_POLL_MILLIS = 250;
    private static final long LIMITS_PERIOD_MILLIS = 500;

    /**
     * How a trial went.
     *
     * @param violations every broken rule, with the story of its request
     * @param requests that were sent
     * @param served of those
     * @param ends of sessions that clients were owed
     * @param lateness how late the emulated hosts noted what came
     * @param counts whether that was within the protocol's slack: where not, the machine had more to do than it can, and the record
     *     proves nothing
     */
    public record Outcome(TrialPlan plan, List<String> violations, long requests, long served, long ends, String lateness, boolean counts) { }

    private final TrialPlan plan;
    private final HostilePlan hostile;
    private final EventRecord record = new EventRecord();
    /** The hosts that there are now, by number. */
    private final List<MediaHostEmulator> hosts = new CopyOnWriteArrayList<>();
    private final List<MediaHostEmulator> goneHosts = new CopyOnWriteArrayList<>();
    private final List<GatewaySlot> gateways = new CopyOnWriteArrayList<>();
    private final SocketOwners owners = new SocketOwners(gateways, record);
    private final List<Thread> tasks = new CopyOnWriteArrayList<>();
    private final ArrivalLateness lateness = new ArrivalLateness();
    private SignalSender signals;
    private CoordinatorEmulator coordinator;
    /** When discovery's last outage counts as over for what is told in it. */
    private long toldAtLatest = Long.MIN_VALUE;

    private SoakTrial(TrialPlan plan, HostilePlan hostile) {
        this.plan = plan;
        this.hostile = hostile;
    }

    /** Plays the plan; its files go into that folder. */
    public static Outcome run(TrialPlan plan, Path dir) throws IOException, InterruptedException {
        return run(plan, HostilePlan.NONE, dir);
    }

    /** The same, with what comes beside it. */
    public static Outcome run(TrialPlan plan, HostilePlan hostile, Path dir) throws IOException, InterruptedException {
        return new SoakTrial(plan, hostile).play(dir);
    }

    private Outcome play(Path dir) throws IOException, InterruptedException {
        try {
            later(0, owners::run);
            open(dir);
            later(0, () -> lateness.measure(hosts, record));
            lateness.awaitCalm(CALM_MILLIS);
            long begin = System.nanoTime();
            later(0, this::watchLimits);
            List<Thread> clients = clients(begin + TimeUnit.MILLISECONDS.toNanos(hostile.lengthMillis()));
            hostile.spells().forEach(spell -> later(spell.atMillis(), () -> play(spell)));
            for (TrialPlan.Fault fault : faults()) {
                TimeUnit.NANOSECONDS.sleep(begin + TimeUnit.MILLISECONDS.toNanos(fault.atMillis()) - System.nanoTime());
                strike(fault);
            }
            for (Thread client : clients) {
                client.join();
            }
            TimeUnit.MILLISECONDS.sleep(LAST_ANSWERS_MILLIS);
            awaitEnds();
            return outcome();
        } finally {
            close();
        }
    }

    private List<TrialPlan.Fault> faults() {
        List<TrialPlan.Fault> faults = new ArrayList<>(plan.faults());
        faults.addAll(hostile.hangs());
        faults.sort(Comparator.comparingInt(TrialPlan.Fault::atMillis));
        return faults;
    }

    private void play(HostilePlan.Spell spell) throws IOException, InterruptedException {
        GatewaySlot.Target target = gateways.get(spell.gateway()).target();
        if (target == null) {
            return; // It is being started anew.
        }
        RandomGenerator chance = RandomGeneratorFactory.of("L64X128MixRandom").create(plan.seed() + spell.atMillis());
        try (HostileClients clients = new HostileClients(target.address(), chance)) {
            for (int i = 0; i < spell.connections(); i++) {
                clients.hold(spell.held());
            }
            if (spell.connections() == 0) {
                clients.flood(spell.flood());
            }
            TimeUnit.MILLISECONDS.sleep(spell.lengthMillis());
        }
    }

    /** Sessions go on ending while this waits; what is owed in the end was over before. */
    private void awaitEnds() throws InterruptedException {
        hosts.forEach(host -> host.sessionsEnd(() -> null));
        long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(LAST_ENDS_MILLIS);
        while (System.nanoTime() < until && !new SessionChecker(record.events()).open().isEmpty()) {
            TimeUnit.MILLISECONDS.sleep(ENDS_POLL_MILLIS);
        }
        hosts.forEach(MediaHostEmulator::recordStanding);
    }

    private void open(Path dir) throws IOException, InterruptedException {
        signals = new SignalSender();
        coordinator = new CoordinatorEmulator();
        for (int i = 0; i < plan.hosts(); i++) {
            hosts.add(openHost("host-" + i, 0));
            coordinator.list(hosts.get(i), i);
        }
        for (int i = 0; i < plan.gateways(); i++) {
            gateways.add(new GatewaySlot(i, plan, dir, coordinator, record, signals, hostile.spells().isEmpty()));
        }
        for (GatewaySlot gateway : gateways) {
            gateway.awaitListening();
        }
    }

    private MediaHostEmulator openHost(String name, int port) throws IOException {
        MediaHostEmulator host = new MediaHostEmulator(name, record, port, plan.repeatsHeardReleases());
        host.acknowledgesCancels(plan.acknowledgesCancels());
        RandomGenerator chance = RandomGeneratorFactory.of("L64X128MixRandom").create(plan.seed() * 31 + name.hashCode());
        host.sessionsEnd(() -> {
            synchronized (chance) {
                return TrialPlan.sessionEnd(chance);
            }
        });
        host.gateways(owners);
        host.measures(lateness);
        host.describesAs(plan.answers());
        host.spoils(List.of(SpoiltForm.values()), plan.spoiltShare());
        return host;
    }

    private void watchLimits() throws InterruptedException {
        while (true) {
            for (GatewaySlot gateway : gateways) {
                GatewayProcess process = gateway.process();
                long held = process.descriptors();
                if (held > TrialConfig.MAX_DESCRIPTORS) {
                    record.add(Event.Kind.LIMIT_EXCEEDED, process.name(), "", String.valueOf(held));
                }
                long megabytes = process.peakMemoryKilobytes() / KILOBYTES_PER_MEGABYTE;
                if (megabytes > TrialConfig.MAX_MEMORY_MEGABYTES) {
                    record.add(Event.Kind.LIMIT_EXCEEDED, process.name(), "", megabytes + " MB");
                }
            }
            TimeUnit.MILLISECONDS.sleep(LIMITS_PERIOD_MILLIS);
        }
    }

    private List<Thread> clients(long until) {
        RandomGenerator chance = RandomGeneratorFactory.of("L64X128MixRandom").create(plan.seed() + 1);
        AtomicLong ids = new AtomicLong(chance.nextLong() >>> 16 << 16);
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < plan.clients(); i++) {
            RandomGenerator own = RandomGeneratorFactory.of("L64X128MixRandom").create(chance.nextLong());
            clients.add(started(new TrialClient("client-" + i, plan, gateways, record, own, ids, until)));
        }
        for (int i = 0; i < BAD_CLIENTS; i++) {
            clients.add(started(new BadClient(gateways, RandomGeneratorFactory.of("L64X128MixRandom")
                .create(chance.nextLong()), until)));
        }
        return clients;
    }

    private static Thread started(Runnable client) {
        Thread thread = new Thread(client);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    private void strike(TrialPlan.Fault fault) throws IOException, InterruptedException {
        switch (fault.kind()) {
            case HOST_HANGS -> {
                host(fault).hang(fault.acceptsWhileHanging());
                later(fault.lengthMillis(), () -> host(fault).readDelay(0));
            }
            case HOST_READS_LATE -> readLate(fault, fault.amount());
            case HOST_SILENT -> answer(fault, AnswerMode.SILENT);
            case HOST_ANSWERS_LATE -> answer(fault, AnswerMode.LATE);
            case HOST_ANSWERS_TWICE -> answer(fault, AnswerMode.TWICE);
            case HOST_SPOILS_ANSWERS -> answer(fault, AnswerMode.SPOILT);
            case HOST_REFUSES -> host(fault).refuseOpen(500);
            case HOST_RESETS -> host(fault).resetConnections();
            case HOST_UNREACHABLE -> {
                host(fault).unreachable(true);
                later(fault.lengthMillis(), () -> host(fault).unreachable(false));
            }
            case HOST_ACCEPTS_LATE -> {
                host(fault).acceptsLate(true);
                later(fault.lengthMillis(), () -> host(fault).acceptsLate(false));
            }
            case HOST_CUT_OFF -> {
                host(fault).cut(true);
                later(fault.lengthMillis(), () -> host(fault).cut(false));
            }
            case HOST_DRAINS -> publish(host(fault), fault, "DRAINING");
            case HOST_DIES -> {
                MediaHostEmulator dead = host(fault);
                dead.die();
                later(DEATH_LISTED_MILLIS, () -> publish(dead, fault, "DELETED"));
            }
            case HOST_VANISHES -> {
                MediaHostEmulator vanished = host(fault);
                vanished.vanish();
                later(fault.amount(), () -> publish(vanished, fault, "DELETED"));
            }
            case HOST_REPLACED -> replace(fault);
            default -> strikeOthers(fault);
        }
    }

    private void replace(TrialPlan.Fault fault) throws IOException {
        MediaHostEmulator dead = host(fault);
        dead.die();
        goneHosts.add(dead);
        MediaHostEmulator fresh = openHost(dead.name() + "n", dead.address().getPort());
        long startedAt = System.currentTimeMillis();
        hosts.set(fault.target(), fresh);
        later(fault.amount(), () -> {
            publish(dead, fault, "DELETED");
            coordinator.publish(fresh, fault.target(), "SERVING", startedAt);
        });
    }

    private void strikeOthers(TrialPlan.Fault fault) throws IOException, InterruptedException {
        switch (fault.kind()) {
            case GATEWAY_RESTARTS -> restart(gateway(fault), 0);
            case ALL_RESTART -> {
                for (int i = 0; i < gateways.size(); i++) {
                    restart(gateways.get(i), i * SERIES_MILLIS);
                }
            }
            case GATEWAY_KILLED -> later(0, () -> {
                if (!gateway(fault).restarting()) {
                    gateway(fault).crash();
                }
            });
            case GATEWAY_STANDS_STILL -> {
                GatewayProcess process = gateway(fault).process();
                process.suspend();
                later(fault.lengthMillis(), process::resume);
            }
            case GATEWAY_ON_PART_OF_A_CORE -> limitCore(gateway(fault), fault);
            case ALL_ON_PART_OF_A_CORE -> gateways.forEach(gateway -> limitCore(gateway, fault));
            case GATEWAY_RELOADS -> reload(gateway(fault));
            default -> strikeDiscovery(fault);
        }
    }

    private void strikeDiscovery(TrialPlan.Fault fault) throws IOException, InterruptedException {
        switch (fault.kind()) {
            case DISCOVERY_MOVES -> {
                coordinator.move();
                for (GatewaySlot gateway : gateways) {
                    gateway.reconfigure();
                }
                toldBy(record.now() + MOVED_TOLD_MICROS);
            }
            case DISCOVERY_SILENT -> {
                coordinator.silence();
                toldBy(record.now() + SILENT_TOLD_MICROS);
            }
            case DISCOVERY_SLOW -> {
                coordinator.answerDelay(fault.amount());
                toldBy(record.now() + fault.lengthMillis() * MICROS_PER_MILLI + DOWN_TOLD_MICROS);
                later(fault.lengthMillis(), () -> coordinator.answerDelay(0));
            }
            case DISCOVERY_DOWN -> {
                coordinator.down(true);
                toldBy(record.now() + fault.lengthMillis() * MICROS_PER_MILLI + DOWN_TOLD_MICROS);
                later(fault.lengthMillis(), () -> coordinator.down(false));
            }
            default -> throw new IllegalArgumentException(String.valueOf(fault));
        }
    }

    private MediaHostEmulator host(TrialPlan.Fault fault) {
        return hosts.get(fault.target());
    }

    private GatewaySlot gateway(TrialPlan.Fault fault) {
        return gateways.get(fault.target());
    }

    private void readLate(TrialPlan.Fault fault, long delayMillis) {
        host(fault).readDelay(delayMillis);
        later(fault.lengthMillis(), () -> host(fault).readDelay(0));
    }

    private void answer(TrialPlan.Fault fault, AnswerMode how) {
        host(fault).answers(how, fault.amount());
        later(fault.lengthMillis(), () -> host(fault).answers(AnswerMode.NORMAL, 0));
    }

    /** What discovery tells while it can't be reached, or is not read, counts as told then at the latest. */
    private synchronized void toldBy(long atMicros) {
        toldAtLatest = Math.max(toldAtLatest, atMicros);
    }

    private synchronized void publish(MediaHostEmulator host, TrialPlan.Fault fault, String state) throws InterruptedException {
        coordinator.publish(host, fault.target(), state);
        record.add(Math.max(record.now(), toldAtLatest), Event.Kind.DRAIN_TOLD, host.name(), "", "");
    }

    private void restart(GatewaySlot gateway, long inMillis) {
        later(inMillis, () -> {
            if (!gateway.restarting()) {
                gateway.restart();
            }
        });
    }

    private void limitCore(GatewaySlot gateway, TrialPlan.Fault fault) {
        GatewayProcess process = gateway.process();
        later(0, () -> process.limitCore(fault.amount(), fault.lengthMillis()));
    }

    private void reload(GatewaySlot gateway) throws IOException, InterruptedException {
        for (int i = 0; i < RELOADS && !gateway.restarting(); i++) {
            gateway.process().reload();
            TimeUnit.MILLISECONDS.sleep(RELOAD_GAP_MILLIS);
        }
    }

    private interface Task {
        void run() throws IOException, InterruptedException;
    }

    private void later(long millis, Task task) {
        Thread thread = new Thread(() -> {
            try {
                TimeUnit.MILLISECONDS.sleep(millis);
                task.run();
            } catch (IOException e) {
                record.add(Event.Kind.PROCESS_ENDED, "trial", "", String.valueOf(e));
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
        thread.setDaemon(true);
        thread.start();
        tasks.add(thread);
    }

    private Outcome outcome() {
        List<String> violations = new ArrayList<>();
        for (RecordChecker.Violation violation : RecordChecker.check(record.events())) {
            StringBuilder text = new StringBuilder(violation.toString());
            context(violation).forEach(event -> text.append("\n  beside it: ").append(event));
            gateways.forEach(g -> g.logWithConnections(violation.request()).forEach(line -> text.append("\n  ").append(line)));
            violations.add(text.toString());
        }
        gateways.forEach(gateway -> gateway.log("INVARIANT_VIOLATED").forEach(line -> violations.add("INVARIANT " + line)));
        return new Outcome(plan, violations, record.count(Event.Kind.REQUEST_SENT), record.count(Event.Kind.ANSWER_SERVED),
            new SessionChecker(record.events()).judged(), lateness.toString(), lateness.withinSlack());
    }

    /** What happened to its clients' connections, and which signals came. */
    private List<Event> context(RecordChecker.Violation violation) {
        Set<String> parties = violation.story().stream().map(Event::party).collect(Collectors.toSet());
        return record.events().stream().filter(e -> e.kind() == Event.Kind.SIGNAL || e.kind() == Event.Kind.PROCESS_ENDED
            || e.kind() == Event.Kind.CONNECTION_ENDED && parties.contains(e.party())).toList();
    }

    private void close() throws IOException, InterruptedException {
        for (Thread task : tasks) {
            task.interrupt();
            task.join();
        }
        for (GatewaySlot gateway : gateways) {
            gateway.close();
        }
        if (signals != null) {
            signals.close();
        }
        for (MediaHostEmulator host : hosts) {
            host.close();
        }
        for (MediaHostEmulator host : goneHosts) {
            host.close();
        }
        if (coordinator != null) {
            coordinator.close();
        }
    }
}
