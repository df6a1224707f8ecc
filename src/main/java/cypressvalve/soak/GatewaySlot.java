package cypressvalve.soak;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * One gateway of a trial over its restarts: it is shut down as the platform does it, killed at the earliest time that the
 * protocol allows, and started anew under its name.
 */
final class GatewaySlot implements AutoCloseable {
    private static final long KILL_AFTER_DEADLINE_MILLIS = 700;
    /** Longer deadlines count as this for the earliest kill. */
    private static final long MAX_DEADLINE_MILLIS = 3_000;
    /** So long after SIGTERM new connections still come. */
    private static final long NEW_CONNECTIONS_MILLIS = 400;
    /** A process is not told of a new configuration within its first second. */
    private static final long FIRST_RELOAD_MILLIS = 1_000;
    private static final long NEVER = Long.MIN_VALUE / 2;

    private final int number;
    private final TrialPlan plan;
    private final Path dir;
    private final CoordinatorEmulator coordinator;
    private final EventRecord record;
    private final SignalSender signals;
    private final boolean logsEvents;
    private final List<GatewayProcess> lives = new ArrayList<>();
    private volatile GatewayProcess process;
    private volatile Target target;
    private boolean reloadsOnceReady;
    private volatile long terminatedAt = NEVER;
    private boolean closed;

    /** @param logsEvents whether its processes log each event at once: too much of it comes of clients at full speed */
    GatewaySlot(int number, TrialPlan plan, Path dir, CoordinatorEmulator coordinator, EventRecord record,
        SignalSender signals, boolean logsEvents) throws IOException {
        this.logsEvents = logsEvents;
        this.number = number;
        this.plan = plan;
        this.dir = dir;
        this.coordinator = coordinator;
        this.record = record;
        this.signals = signals;
        start();
    }

    private synchronized void start() throws IOException {
        if (closed) {
            return;
        }
        target = null;
        terminatedAt = NEVER;
        String name = "gateway-" + number + "." + lives.size();
        process = new GatewayProcess(name, writeConfig(name), record, signals, GatewayProcess.options(logsEvents));
        lives.add(process);
    }

    private Path writeConfig(String name) throws IOException {
        return TrialConfig.write(dir.resolve(name + ".json"), name, coordinator, plan);
    }

    /** Writes its configuration as things are now, and tells it (SIGHUP); one that starts is told a second after it is ready. */
    synchronized void reconfigure() throws IOException {
        writeConfig(process.name());
        if (target == null) {
            reloadsOnceReady = true;
        } else {
            process.reload();
        }
    }

    private synchronized boolean takeReload() {
        boolean due = reloadsOnceReady;
        reloadsOnceReady = false;
        return due;
    }

    void awaitListening() throws InterruptedException {
        target = new Target(process.name(), process.address());
    }

    /** A process that takes new connections. */
    record Target(String process, InetSocketAddress address) { }

    /** Where new connections may go; null while there is no such place. */
    Target target() {
        boolean ending = terminatedAt != NEVER && System.nanoTime() - terminatedAt
            > TimeUnit.MILLISECONDS.toNanos(NEW_CONNECTIONS_MILLIS);
        return ending ? null : target;
    }

    /** SIGTERM now, SIGKILL at the earliest, then a new start; returns once it listens. */
    void restart() throws IOException, InterruptedException {
        GatewayProcess old = process;
        terminatedAt = System.nanoTime();
        old.terminate();
        TimeUnit.MILLISECONDS.sleep(Math.min(plan.deadlineMillis(), MAX_DEADLINE_MILLIS) + KILL_AFTER_DEADLINE_MILLIS);
        killAndStart(old);
    }

    /** SIGKILL without a word before, then a new start; returns once it listens. */
    void crash() throws IOException, InterruptedException {
        GatewayProcess old = process;
        terminatedAt = System.nanoTime();
        killAndStart(old);
    }

    /** The front takes the new process in once it has passed a test, and hands over what stood at the one before. */
    private void killAndStart(GatewayProcess old) throws IOException, InterruptedException {
        old.kill();
        start();
        new FrontEmulator("front-" + old.name(), record, plan.hosts()).handOver(old.name(), process.name(), process.address());
        awaitListening();
        if (takeReload()) {
            TimeUnit.MILLISECONDS.sleep(FIRST_RELOAD_MILLIS);
            process.reload();
        }
    }

    boolean restarting() {
        return terminatedAt != NEVER || target == null;
    }

    /** Its name, which it keeps over restarts. */
    String name() {
        return "gateway-" + number;
    }

    GatewayProcess process() {
        return process;
    }

    /** What all its processes have logged of that. */
    synchronized List<String> log(String text) {
        return lives.stream().flatMap(life -> life.log(text).stream()).toList();
    }

    /** What all its processes have logged of a request, and of their connections to the media hosts that it went to. */
    synchronized List<String> logWithConnections(String request) {
        return lives.stream().flatMap(life -> life.logWithConnections(request).stream()).toList();
    }

    @Override
    public synchronized void close() throws InterruptedException {
        closed = true;
        for (GatewayProcess life : lives) {
            if (life.alive()) {
                life.kill();
            }
            life.close();
        }
    }
}
