package cypressvalve.soak;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;
import java.util.stream.Collectors;

/** Plays one plan with real gateway processes on loopback and judges the record. */
public final class SoakTrial {
    private static final long DOWN_TOLD_MICROS = 6_000_000;
    private static final long SILENT_TOLD_MICROS = 4_000_000;
    private static final long MICROS_PER_MILLI = 1_000;
    /** A host that answers late does so by this part of the time for which it does. */
    private static final int LATE_SHARE = 8;
    /** A host that hangs reads late, too, by less than the time in which a gateway counts on a cancel to be read. */
    private static final int HANGING_READ_DELAY_MILLIS = 90;
    private static final int SERIES_MILLIS = 150;
    private static final int RELOADS = 4;
    private static final int RELOAD_GAP_MILLIS = 30;
    private static final long LAST_ANSWERS_MILLIS = 1_500;

    /**
     * How a trial went.
     *
     * @param violations every broken rule, with the story of its request
     * @param requests that were sent
     * @param served of those
     */
    public record Outcome(TrialPlan plan, List<String> violations, long requests, long served) { }

    private final TrialPlan plan;
    private final EventRecord record = new EventRecord();
    private final List<MediaHostEmulator> hosts = new ArrayList<>();
    private final List<GatewaySlot> gateways = new ArrayList<>();
    private final List<Thread> tasks = new ArrayList<>();
    private CoordinatorEmulator coordinator;
    /** When discovery's last outage counts as over for what is told in it. */
    private long toldAtLatest = Long.MIN_VALUE;

    private SoakTrial(TrialPlan plan) {
        this.plan = plan;
    }

    /** Plays the plan; its files go into that folder. */
    public static Outcome run(TrialPlan plan, Path dir) throws IOException, InterruptedException {
        return new SoakTrial(plan).play(dir);
    }

    private Outcome play(Path dir) throws IOException, InterruptedException {
        try {
            open(dir);
            long begin = System.nanoTime();
            List<Thread> clients = clients(begin + TimeUnit.MILLISECONDS.toNanos(TrialPlan.LENGTH_MILLIS));
            for (TrialPlan.Fault fault : plan.faults()) {
                TimeUnit.NANOSECONDS.sleep(begin + TimeUnit.MILLISECONDS.toNanos(fault.atMillis()) - System.nanoTime());
                strike(fault);
            }
            for (Thread client : clients) {
                client.join();
            }
            TimeUnit.MILLISECONDS.sleep(LAST_ANSWERS_MILLIS);
            return outcome();
        } finally {
            close();
        }
    }

    private void open(Path dir) throws IOException, InterruptedException {
        coordinator = new CoordinatorEmulator();
        for (int i = 0; i < plan.hosts(); i++) {
            hosts.add(new MediaHostEmulator("host-" + i, record));
            coordinator.list(hosts.get(i), i);
        }
        for (int i = 0; i < plan.gateways(); i++) {
            gateways.add(new GatewaySlot(i, plan, dir, coordinator, record));
        }
        for (GatewaySlot gateway : gateways) {
            gateway.awaitListening();
        }
    }

    private List<Thread> clients(long until) {
        RandomGenerator chance = RandomGeneratorFactory.of("L64X128MixRandom").create(plan.seed() + 1);
        AtomicLong ids = new AtomicLong(chance.nextLong() >>> 16 << 16);
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < plan.clients(); i++) {
            RandomGenerator own = RandomGeneratorFactory.of("L64X128MixRandom").create(chance.nextLong());
            Thread thread = new Thread(new TrialClient("client-" + i, plan, gateways, record, own, ids, until));
            thread.setDaemon(true);
            thread.start();
            clients.add(thread);
        }
        return clients;
    }

    private void strike(TrialPlan.Fault fault) throws IOException, InterruptedException {
        switch (fault.kind()) {
            case HOST_HANGS -> {
                answer(fault, AnswerMode.SILENT);
                host(fault).readDelay(HANGING_READ_DELAY_MILLIS);
                later(fault.lengthMillis(), () -> host(fault).readDelay(0));
            }
            case HOST_ANSWERS_LATE -> answer(fault, AnswerMode.LATE);
            case HOST_ANSWERS_TWICE -> answer(fault, AnswerMode.TWICE);
            case HOST_SPOILS_ANSWERS -> answer(fault, AnswerMode.SPOILT);
            case HOST_READS_LATE -> host(fault).readDelay(fault.lengthMillis());
            case HOST_REFUSES -> host(fault).refuseOpen(500);
            case HOST_RESETS -> host(fault).resetConnections();
            case HOST_DRAINS -> drain(fault);
            case GATEWAY_RESTARTS -> restart(gateways.get(fault.target()), 0);
            case ALL_RESTART -> {
                for (int i = 0; i < gateways.size(); i++) {
                    restart(gateways.get(i), i * SERIES_MILLIS);
                }
            }
            case GATEWAY_STANDS_STILL -> {
                GatewayProcess process = gateways.get(fault.target()).process();
                process.suspend();
                later(fault.lengthMillis(), process::resume);
            }
            case GATEWAY_RELOADS -> reload(gateways.get(fault.target()));
            case DISCOVERY_SILENT -> {
                coordinator.silence();
                toldAtLatest = Math.max(toldAtLatest, record.now() + SILENT_TOLD_MICROS);
            }
            case DISCOVERY_DOWN -> {
                coordinator.down(true);
                toldAtLatest = Math.max(toldAtLatest, record.now() + fault.lengthMillis() * MICROS_PER_MILLI + DOWN_TOLD_MICROS);
                later(fault.lengthMillis(), () -> coordinator.down(false));
            }
        }
    }

    private MediaHostEmulator host(TrialPlan.Fault fault) {
        return hosts.get(fault.target());
    }

    private void answer(TrialPlan.Fault fault, AnswerMode how) {
        host(fault).answers(how, fault.lengthMillis() / LATE_SHARE);
        later(fault.lengthMillis(), () -> host(fault).answers(AnswerMode.NORMAL, 0));
    }

    private void drain(TrialPlan.Fault fault) {
        coordinator.publish(host(fault), fault.target(), "DRAINING");
        record.add(Math.max(record.now(), toldAtLatest), Event.Kind.DRAIN_TOLD, host(fault).name(), "", "");
    }

    private void restart(GatewaySlot gateway, long inMillis) {
        later(inMillis, () -> {
            if (!gateway.restarting()) {
                gateway.restart();
            }
        });
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
            gateways.forEach(g -> g.log(violation.request()).forEach(line -> text.append("\n  ").append(line)));
            violations.add(text.toString());
        }
        return new Outcome(plan, violations, record.count(Event.Kind.REQUEST_SENT), record.count(Event.Kind.ANSWER_SERVED));
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
        for (MediaHostEmulator host : hosts) {
            host.close();
        }
        if (coordinator != null) {
            coordinator.close();
        }
    }
}
