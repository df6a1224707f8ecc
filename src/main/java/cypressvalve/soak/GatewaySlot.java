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
    /** So long after SIGTERM new connections still come. */
    private static final long NEW_CONNECTIONS_MILLIS = 400;
    private static final long NEVER = Long.MIN_VALUE / 2;

    private final int number;
    private final TrialPlan plan;
    private final Path dir;
    private final CoordinatorEmulator coordinator;
    private final EventRecord record;
    private final List<GatewayProcess> lives = new ArrayList<>();
    private volatile GatewayProcess process;
    private volatile Target target;
    private volatile long terminatedAt = NEVER;
    private boolean closed;

    GatewaySlot(int number, TrialPlan plan, Path dir, CoordinatorEmulator coordinator, EventRecord record)
        throws IOException {
        this.number = number;
        this.plan = plan;
        this.dir = dir;
        this.coordinator = coordinator;
        this.record = record;
        start();
    }

    private synchronized void start() throws IOException {
        if (closed) {
            return;
        }
        target = null;
        terminatedAt = NEVER;
        String name = "gateway-" + number + "." + lives.size();
        process = new GatewayProcess(name, TrialConfig.write(dir.resolve(name + ".json"), name, coordinator, plan.hosts(),
            plan.aimMillis(), plan.deadlineMillis()), record);
        lives.add(process);
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
        TimeUnit.MILLISECONDS.sleep(plan.deadlineMillis() + KILL_AFTER_DEADLINE_MILLIS);
        old.kill();
        start();
        awaitListening();
    }

    boolean restarting() {
        return terminatedAt != NEVER || target == null;
    }

    GatewayProcess process() {
        return process;
    }

    /** What all its processes have logged of a request. */
    synchronized List<String> log(String request) {
        return lives.stream().flatMap(life -> life.log(request).stream()).toList();
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
