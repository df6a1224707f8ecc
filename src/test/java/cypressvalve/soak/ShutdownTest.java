package cypressvalve.soak;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Every request that comes between SIGTERM and the earliest SIGKILL must get its answer. */
@Timeout(60)
class ShutdownTest extends GatewayTrial {
    private static final long KILL_AFTER_DEADLINE_MILLIS = 700;
    /** What is on its way when the process is killed can't be judged. */
    private static final long LAST_REQUEST_BEFORE_KILL_MILLIS = 100;
    private static final long PERIOD_MILLIS = 25;

    /** Sends on open connections until the earliest kill, then kills. */
    private void terminatedWhileClientsSend(int deadlineMillis, ClientEmulator... clients) throws Exception {
        clients[0].send(request(deadlineMillis));
        assertTrue(record.await(Event.Kind.ATTEMPT_BEGUN, 1, MOST_MILLIS), "served nobody");
        gateway.terminate();
        long kill = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(deadlineMillis + KILL_AFTER_DEADLINE_MILLIS);
        int sent = 0;
        while (System.nanoTime() < kill - TimeUnit.MILLISECONDS.toNanos(LAST_REQUEST_BEFORE_KILL_MILLIS)) {
            for (ClientEmulator client : clients) {
                send(client, request(deadlineMillis));
                sent++;
            }
            TimeUnit.MILLISECONDS.sleep(PERIOD_MILLIS); // The clients' own pace.
        }
        TimeUnit.NANOSECONDS.sleep(kill - System.nanoTime());
        gateway.kill();
        assertTrue(record.await(Event.Kind.PROCESS_ENDED, 1, MOST_MILLIS));
        assertTrue(sent > 1, "no request was sent");
        assertRulesKept();
    }

    private void send(ClientEmulator client, ClientEmulator.SetUp request) {
        try {
            client.send(request);
        } catch (IOException e) {
            throw new AssertionError("the gateway left while clients may send: " + record.events(), e);
        }
    }

    @Test
    void requestsOnOpenConnectionsAreAnsweredUntilTheEarliestKillThoughNothingPlays() throws Exception {
        start(3, 2_000, 3_000);
        hosts.forEach(host -> host.answersSetUps(false));
        terminatedWhileClientsSend(3_000, client("one"), client("two"));
    }

    @Test
    void requestsWithShortDeadlinesAreAnsweredBeforeTheEarliestKillThoughHostsHang() throws Exception {
        start(3, 1_000, 1_000);
        hosts.forEach(host -> host.answersSetUps(false));
        terminatedWhileClientsSend(1_000, client("one"), client("two"));
    }
}
