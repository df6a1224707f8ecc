package cypressvalve.soak;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Every request that comes between SIGTERM and the earliest SIGKILL must get its answer. */
@Timeout(60)
class ShutdownTest extends GatewayTrial {
    private static final long KILL_AFTER_DEADLINE_MILLIS = 700;
    private static final long PERIOD_MILLIS = 2;
    /** The protocol's time from a host's release to the one towards the client: what is said as the connection closes would be owed then. */
    private static final long RELEASED_WITHIN_MILLIS = 1_050;

    /** Sends on open connections until the very kill, at the earliest that the platform sends it. */
    private void terminatedWhileClientsSend(int deadlineMillis, ClientEmulator... clients) throws Exception {
        clients[0].send(request(deadlineMillis));
        assertTrue(record.await(Event.Kind.ATTEMPT_BEGUN, 1, MOST_MILLIS), "served nobody");
        gateway.terminate();
        long kill = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(deadlineMillis + KILL_AFTER_DEADLINE_MILLIS);
        Thread sender = new Thread(() -> sendUntil(kill, deadlineMillis, clients));
        sender.start();
        TimeUnit.NANOSECONDS.sleep(kill - System.nanoTime());
        assertTrue(Stream.of(clients).allMatch(ClientEmulator::ended), () -> "a request sent just before the kill has no answer: " + gateway.log());
        gateway.kill();
        sender.join();
        assertTrue(record.await(Event.Kind.PROCESS_ENDED, 1, MOST_MILLIS));
        assertTrue(record.await(Event.Kind.CONNECTION_ENDED, clients.length, MOST_MILLIS));
        assertTrue(record.count(Event.Kind.ANSWER_REFUSED) > clients.length, "hardly a request was sent");
        assertRulesKept();
    }

    private void sendUntil(long time, int deadlineMillis, ClientEmulator... clients) {
        while (System.nanoTime() < time) {
            for (ClientEmulator client : clients) {
                if (!client.ended()) {
                    try {
                        client.send(request(deadlineMillis));
                    } catch (IOException e) {
                        continue; // The connection has ended: the request was not taken.
                    }
                }
            }
            try {
                TimeUnit.MILLISECONDS.sleep(PERIOD_MILLIS); // The clients' own pace.
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
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

    @Test
    void requestsAreAnsweredThoughTheProcessStandsStillRightBeforeTheEarliestKill() throws Exception {
        start(3, 2_000, 3_000);
        hosts.forEach(host -> host.answersSetUps(false));
        long standsStillAfter = 3_000 + KILL_AFTER_DEADLINE_MILLIS - 450;
        Thread standstill = new Thread(() -> {
            try {
                assertTrue(record.await(Event.Kind.SIGNAL, 1, MOST_MILLIS));
                TimeUnit.MILLISECONDS.sleep(standsStillAfter);
                gateway.suspend();
            } catch (IOException | InterruptedException e) {
                throw new IllegalStateException(e);
            }
        });
        standstill.start();
        terminatedWhileClientsSend(3_000, client("one"), client("two"));
        standstill.join();
    }

    @Test
    void requestsWithShortDeadlinesAreAnsweredThoughTheProcessGetsAQuarterOfACore() throws Exception {
        terminatedOnPartOfACore(25);
    }

    @Test
    void requestsWithShortDeadlinesAreAnsweredThoughTheProcessGetsATenthOfACore() throws Exception {
        terminatedOnPartOfACore(10);
    }

    private void terminatedOnPartOfACore(int percent) throws Exception {
        start(3, 400, 400);
        hosts.forEach(host -> host.answersSetUps(false));
        Thread partOfACore = new Thread(() -> {
            try {
                while (record.count(Event.Kind.PROCESS_ENDED) == 0) {
                    gateway.suspend();
                    TimeUnit.MILLISECONDS.sleep(100 - percent);
                    gateway.resume();
                    TimeUnit.MILLISECONDS.sleep(percent);
                }
            } catch (IOException | InterruptedException e) {
                throw new IllegalStateException(e);
            }
        });
        ClientEmulator one = client("one");
        ClientEmulator two = client("two");
        partOfACore.start();
        terminatedWhileClientsSend(400, one, two);
        partOfACore.join();
    }

    /** Guards against ends that hosts say in the last seconds and that nobody is told: a process that lives on for sessions without a client's connection. */
    @Test
    void aProcessThatCanTellNobodyOfTheEndOfASessionDoesNotStayForIt() throws Exception {
        start(3, 1_000, 1_000);
        ClientEmulator client = client("client");
        client.send(request(1_000));
        assertTrue(record.await(Event.Kind.ANSWER_SERVED, 1, MOST_MILLIS), "not served");
        gateway.terminate();
        assertTrue(record.await(Event.Kind.CONNECTION_ENDED, 1, MOST_MILLIS), "its connection stays");
        assertTrue(record.await(Event.Kind.PROCESS_ENDED, 1, RELEASED_WITHIN_MILLIS), () -> "it lives on: " + gateway.log());
    }
}
