package cypressvalve.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** A real process ends sessions at a media host that is out of reach as their clients release them. */
@Timeout(60)
class ReleaseToHostTest extends GatewayTrial {
    private static final int PATIENCE_MILLIS = 1_000;
    private static final int SESSIONS = 3;
    private static final int CONNECT_MILLIS = 200;
    /** How long the host is out of reach: over what it takes to count as lost, under what a machine may be cut off. */
    private static final long OUT_OF_REACH_MILLIS = 4_000;

    /** Returns once no new connection comes up and the open ones are reset. */
    private static void loseReach(MediaHostEmulator host) throws IOException {
        host.unreachable(true);
        boolean comesUp = true;
        while (comesUp) {
            try (Socket probe = new Socket()) {
                probe.connect(host.address(), CONNECT_MILLIS);
            } catch (SocketTimeoutException e) {
                comesUp = false;
            }
        }
        host.resetConnections();
    }

    /** Guards against sessions left standing at a host that is out of reach, and counts as lost, while their release waits. */
    @Test
    void sessionsReleasedWhileTheirHostIsOutOfReachAreEndedThereOnceItIsReached() throws Exception {
        start(1, 900, PATIENCE_MILLIS);
        ClientEmulator client = client("client");
        long first = 0;
        for (int i = 0; i < SESSIONS; i++) {
            ClientEmulator.SetUp request = request(PATIENCE_MILLIS);
            first = i == 0 ? request.id() : first;
            client.send(request);
        }
        assertTrue(record.await(Event.Kind.ANSWER_SERVED, SESSIONS, MOST_MILLIS), "not all were served");
        loseReach(hosts.get(0));
        TimeUnit.MILLISECONDS.sleep(100); // The clients' own pace: the gateway has read by then that its connections are gone.
        for (int i = 1; i < SESSIONS; i++) {
            client.cancel(first + i); // The first one plays on, so that the host counts as lost.
        }
        TimeUnit.MILLISECONDS.sleep(OUT_OF_REACH_MILLIS);
        hosts.get(0).unreachable(false);
        record.await(Event.Kind.SESSION_ENDED_BY_GATEWAY, SESSIONS, MOST_MILLIS);
        assertEquals(SESSIONS, record.count(Event.Kind.SESSION_ENDED_BY_GATEWAY), () -> String.join("\n", gateway.log()));
        assertRulesKept();
    }

    /** Guards against a release that waits for its host as the process, which has nothing else to do, ends by itself after SIGTERM. */
    @Test
    void aReleaseThatWaitsForItsHostDuringShutdownIsSaidBeforeTheProcessEnds() throws Exception {
        start(1, 900, PATIENCE_MILLIS);
        ClientEmulator client = client("client");
        ClientEmulator.SetUp request = request(PATIENCE_MILLIS);
        client.send(request);
        assertTrue(record.await(Event.Kind.ANSWER_SERVED, 1, MOST_MILLIS), "not served");
        loseReach(hosts.get(0));
        TimeUnit.MILLISECONDS.sleep(100); // The client's own pace.
        client.cancel(request.id());
        client.close();
        gateway.terminate();
        TimeUnit.MILLISECONDS.sleep(PATIENCE_MILLIS); // No sooner than 0.7 s after this the process may be killed.
        hosts.get(0).unreachable(false);
        record.await(Event.Kind.SESSION_ENDED_BY_GATEWAY, 1, MOST_MILLIS);
        assertEquals(1, record.count(Event.Kind.SESSION_ENDED_BY_GATEWAY), () -> String.join("\n", gateway.log()));
    }

    /** Guards against releases that clients send just as the gateway closes their connection during shutdown. */
    @Test
    void aReleaseThatCrossesTheCloseOfItsConnectionDuringShutdownEndsItsSession() throws Exception {
        start(1, 900, PATIENCE_MILLIS);
        ClientEmulator client = client("client");
        ClientEmulator.SetUp request = request(PATIENCE_MILLIS);
        client.send(request);
        assertTrue(record.await(Event.Kind.ANSWER_SERVED, 1, MOST_MILLIS), "not served");
        gateway.terminate();
        assertTrue(record.await(Event.Kind.CONNECTION_ENDED, 1, MOST_MILLIS), "its connection stays");
        client.cancel(request.id());
        record.await(Event.Kind.SESSION_ENDED_BY_GATEWAY, 1, PATIENCE_MILLIS);
        assertEquals(1, record.count(Event.Kind.SESSION_ENDED_BY_GATEWAY), () -> String.join("\n", gateway.log()));
    }
}
