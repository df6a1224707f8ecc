package cypressvalve.host.rtsp;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cypressvalve.diagnostics.EventLog;
import cypressvalve.host.AttemptGuard;
import cypressvalve.host.HostAddress;
import cypressvalve.host.HostClient;
import cypressvalve.host.HostLimits;
import java.io.BufferedReader;
import java.io.IOException;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** A media host that carries sessions says their ends on connections that were given up here, and of which it has not taken note. */
@Timeout(30)
class GivenUpConnectionsTest extends RtspScene {
    private static final String SESSION = "00000000000000aa";
    private static final String OTHER = "00000000000000bb";
    private static final long CONNECT_TIMEOUT = 200_000_000L;
    private static final HostLimits SHORT = new HostLimits(CONNECT_TIMEOUT, CONNECT_TIMEOUT, 0, 2);
    /** The protocol's time from a release by the host to the one towards its client. */
    private static final int RELEASED_WITHIN_MILLIS = 1_000;
    /** The host's own time: as long as users' hosts stand still at least would take the test too long. */
    private static final int STANDSTILL_MILLIS = 4_000;

    GivenUpConnectionsTest() throws IOException { }

    private static String end(String session) {
        return "TEARDOWN rtsp://media/s RTSP/1.0\r\nCSeq: 2\r\nSession: " + session + "\r\nReason: cause=16";
    }

    private void startTestingClient() {
        used = new RtspHostClient(polls, SHORT, 60_000_000_000L, 8, 16, ByteBuffer.allocate(4096), true,
            AttemptGuard.NONE, notes(), new EventLog(64));
    }

    private static void serve(Socket connection, BufferedReader in, String session) throws IOException {
        assertTrue(message(in).startsWith("SETUP"));
        say(connection, "RTSP/1.0 200 OK\r\nCSeq: 1\r\nSession: " + session, "mine");
    }

    private void saysANoteOn(Socket connection) throws Exception {
        say(connection, "ANNOUNCE rtsp://media/s RTSP/1.0\r\nSession: " + SESSION + "\r\nX-Diagnosis: served\r\nX-Reading: 0.7", "");
        assertEquals("delivered " + SESSION + " 0.7", told.take());
    }

    private void assertToldInTime(String session) throws InterruptedException {
        assertEquals("ended " + session + " OK", told.poll(RELEASED_WITHIN_MILLIS, TimeUnit.MILLISECONDS));
    }

    /** Guards against ends on connections that came up while this process stood still, and that counted as never up as it went on. */
    @Test
    void anEndOnAConnectionThatCameUpWhileTheLoopStoodStillIsRead() throws Exception {
        startTestingClient();
        CountDownLatch goesOn = new CountDownLatch(1);
        worker.getIoThread().execute(() -> {
            used.follow(host, true);
            awaitGoingOn(goesOn);
        });
        try (Socket first = server.accept()) {
            say(first, end(SESSION), "");
            TimeUnit.NANOSECONDS.sleep(2 * CONNECT_TIMEOUT); // How long the process stands still.
            goesOn.countDown();
            assertToldInTime(SESSION);
        }
    }

    private static void awaitGoingOn(CountDownLatch goesOn) {
        try {
            goesOn.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Guards against ends on a connection that was given back before its host stood still, as that had spoken on another since. */
    @Test
    void anEndOnAConnectionGivenBackIsReadHoweverLateItsHostGoesOn() throws Exception {
        onLoop(() -> setUp(SESSION));
        Socket first = server.accept();
        BufferedReader firstIn = reader(first);
        onLoop(() -> setUp(OTHER));
        try (Socket second = server.accept()) {
            serve(first, firstIn, SESSION);
            assertEquals("started " + SESSION + " mine", told.take());
            serve(second, reader(second), OTHER);
            assertEquals("started " + OTHER + " mine", told.take());
            onLoop(() -> used.follow(host, true));
            saysANoteOn(first);
            onLoop(() -> used.freeLinks(host));
            TimeUnit.MILLISECONDS.sleep(STANDSTILL_MILLIS);
            say(second, end(OTHER), "");
            assertToldInTime(OTHER);
        }
    }

    /** Guards against ends that a host repeats on a connection which its process had not taken as it spoke last, and which was closed here. */
    @Test
    void anEndOnAConnectionThatWaitedInTheHostsQueueIsRead() throws Exception {
        startTestingClient();
        onLoop(() -> setUp(SESSION));
        Socket first = server.accept();
        BufferedReader in = reader(first);
        answerTest(first, in);
        serve(first, in, SESSION);
        assertEquals("started " + SESSION + " mine", told.take());
        onLoop(() -> used.follow(host, true));
        onLoop(() -> setUp("00000000000000cc", 60_000_000_000L));
        assertTrue(message(in).startsWith("SETUP"));
        onLoop(() -> setUp(OTHER, 2 * CONNECT_TIMEOUT));
        awaitConnections(2);
        TimeUnit.NANOSECONDS.sleep(CONNECT_TIMEOUT); // The host's own time; its system has taken the second meanwhile.
        saysANoteOn(first);
        assertEquals("given up " + OTHER + " TIMEOUT", told.take());
        assertEquals("back " + OTHER + " NOT_SENT", told.take());
        TimeUnit.MILLISECONDS.sleep(STANDSTILL_MILLIS);
        try (Socket second = server.accept()) {
            say(second, end(SESSION), "");
            assertToldInTime(SESSION);
        }
    }

    /** Guards against ends that cross the close of a connection for which there was no room, as others were closed at once. */
    @Test
    void anEndThatCrossesACloseForRoomIsReadHoweverManyAreClosedAtOnce() throws Exception {
        List<Socket> connections = new ArrayList<>();
        int room = MOST_LINES + RtspHostClient.MAX_ENDING;
        for (int i = 0; i < room; i++) {
            HostAddress other = new HostAddress(100 + i, "127.0.0.1", server.getLocalPort());
            onLoop(() -> used.follow(other, true));
            connections.add(server.accept());
            say(connections.get(i), end(String.format("%016x", i)), "");
            assertToldInTime(String.format("%016x", i));
        }
        HostClient.Call[] call = new HostClient.Call[1];
        onLoop(() -> call[0] = setUp(OTHER));
        for (Socket connection : connections) {
            say(connection, end(SESSION), "");
        }
        int heard = 0;
        for (int i = 0; i < room; i++) {
            heard += ("ended " + SESSION + " OK").equals(toldBut("back " + OTHER + " NOT_SENT")) ? 1 : 0;
        }
        assertEquals(room, heard);
        onLoop(call[0]::withdraw);
    }

    /** Guards against ends at a host that is left without a connection for seconds, as its only one went for another host's. */
    @Test
    void aHostWhoseOnlyConnectionWentForAnotherIsConnectedToAsSoonAsThereIsRoom() throws Exception {
        List<Socket> connections = new ArrayList<>();
        for (int i = 0; i < MOST_LINES; i++) {
            HostAddress other = new HostAddress(100 + i, "127.0.0.1", server.getLocalPort());
            onLoop(() -> used.follow(other, true));
            connections.add(server.accept());
            say(connections.get(i), end(String.format("%016x", i)), "");
            assertToldInTime(String.format("%016x", i));
        }
        onLoop(() -> setUp(OTHER));
        Socket taken = server.accept();
        assertTrue(message(reader(taken)).startsWith("SETUP"));
        Socket givenUp = connections.get(0);
        reader(givenUp).lines().forEach(line -> { }); // Until its end by the gateway.
        givenUp.close();
        taken.close();
        server.setSoTimeout(RELEASED_WITHIN_MILLIS);
        try (Socket again = server.accept()) {
            say(again, end(SESSION), "");
            assertEquals("ended " + SESSION + " OK", toldBut("back " + OTHER + " BROKEN"));
        }
    }

    private String toldBut(String other) throws InterruptedException {
        String next = told.poll(RELEASED_WITHIN_MILLIS, TimeUnit.MILLISECONDS);
        return other.equals(next) ? told.poll(RELEASED_WITHIN_MILLIS, TimeUnit.MILLISECONDS) : next;
    }

    private void awaitConnections(int wanted) throws InterruptedException {
        int[] held = {0};
        while (held[0] < wanted) {
            onLoop(() -> held[0] = used.connections());
        }
    }
}
