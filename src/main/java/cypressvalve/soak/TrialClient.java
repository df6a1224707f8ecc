package cypressvalve.soak;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.random.RandomGenerator;

/** A client of a trial: asks again and again, cancels, leaves, writes in pieces, and comes back elsewhere at once. */
final class TrialClient implements Runnable {
    private static final double CANCELS = 0.1;
    private static final double LEAVES = 0.02;
    /** Part of the others that end what plays; the rest leaves that to the media host. */
    private static final double ENDS = 0.3;
    /** Part of the requests that must not run twice. */
    private static final double ONCE = 0.2;
    private static final double WRITES_IN_PIECES = 0.15;
    private static final int STANDS_MILLIS = 600;
    private static final int PATIENCE_SHARE_LEAST = 60;
    private static final long RETRY_MILLIS = 20;
    /** Clients come one after another within this time. */
    private static final int FIRST_WITHIN_MILLIS = 1_000;
    /** Each further gateway, whose code has not run yet, lets them come over so much more. */
    private static final int FIRST_WITHIN_A_GATEWAY_MILLIS = 50;
    /** Part of the refused requests that are asked again at once. */
    private static final double ASKS_AGAIN = 0.5;

    private record Due(long id, long atNanos) { }

    private final String name;
    private final TrialPlan plan;
    private final List<GatewaySlot> gateways;
    private final EventRecord record;
    private final RandomGenerator chance;
    private final AtomicLong ids;
    private final long until;
    private final List<Due> releases = new ArrayList<>();
    private int connections;

    TrialClient(String name, TrialPlan plan, List<GatewaySlot> gateways, EventRecord record, RandomGenerator chance,
        AtomicLong ids, long untilNanos) {
        this.name = name;
        this.plan = plan;
        this.gateways = gateways;
        this.record = record;
        this.chance = chance;
        this.ids = ids;
        this.until = untilNanos;
    }

    @Override
    public void run() {
        try {
            TimeUnit.MILLISECONDS.sleep(chance.nextInt(FIRST_WITHIN_MILLIS + gateways.size() * FIRST_WITHIN_A_GATEWAY_MILLIS));
            while (System.nanoTime() < until) {
                GatewaySlot.Target target = gateways.get(chance.nextInt(gateways.size())).target();
                if (target == null) {
                    TimeUnit.MILLISECONDS.sleep(RETRY_MILLIS);
                } else {
                    use(target);
                }
            }
            TimeUnit.MILLISECONDS.sleep(plan.deadlineMillis());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void use(GatewaySlot.Target target) throws InterruptedException {
        List<Long> open = new ArrayList<>();
        int answeredAgain = 0;
        releases.clear();
        try {
            ClientEmulator connection = new ClientEmulator(name + "." + ++connections, target.process(),
                target.address(), record);
            connection.describesAs(plan.offers());
            if (chance.nextDouble() < WRITES_IN_PIECES) {
                connection.writeInPieces(chance.nextInt(1, 40), chance.nextInt(1, 30));
            }
            while (System.nanoTime() < until && !connection.ended()) {
                if (chance.nextDouble() < LEAVES) {
                    connection.leave(open);
                    return;
                }
                open.add(ask(connection));
                if (connection.refusals() > answeredAgain++ && chance.nextDouble() < ASKS_AGAIN) {
                    continue; // It comes again at once.
                }
                TimeUnit.MILLISECONDS.sleep((long) (-Math.log(1 - chance.nextDouble()) * plan.gapMillis()));
                release(connection);
            }
        } catch (IOException e) {
            TimeUnit.MILLISECONDS.sleep(RETRY_MILLIS); // The gateway has closed, or is not there yet.
        }
    }

    private long ask(ClientEmulator connection) throws IOException {
        long id = ids.incrementAndGet();
        int patience = plan.deadlineMillis() * chance.nextInt(PATIENCE_SHARE_LEAST, 101) / 100;
        connection.send(new ClientEmulator.SetUp(id, chance.nextDouble() < ONCE ? TrialConfig.ONCE : "a", "t", "abcdef", patience, plan.hosts()));
        if (chance.nextDouble() < CANCELS) {
            releases.add(new Due(id, System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(chance.nextInt(1, 300))));
        } else if (chance.nextDouble() < ENDS) {
            releases.add(new Due(id, System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(plan.deadlineMillis() + STANDS_MILLIS)));
        }
        return id;
    }

    /** Cancels, or ends what plays, as it is due. */
    private void release(ClientEmulator connection) throws IOException {
        for (Iterator<Due> i = releases.iterator(); i.hasNext(); ) {
            Due due = i.next();
            if (due.atNanos() < System.nanoTime()) {
                i.remove();
                connection.cancel(due.id());
            }
        }
    }
}
