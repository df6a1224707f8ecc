package cypressvalve.host.rtsp;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cypressvalve.host.HostAddress;
import cypressvalve.host.HostClient;
import cypressvalve.net.Loopback;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** What either side said last on a connection to a media host that ends, whoever ends it. */
@Timeout(20)
class ConnectionEndsTest extends RtspScene {
    private static final String END = "TEARDOWN rtsp://media/s RTSP/1.0\r\nCSeq: 2\r\nSession: 00000000000000aa\r\nReason: cause=16";

    /** The protocol's time for an end that could not be said. */
    private static final long OWED_WITHIN_NANOS = 8_000_000_000L;

    ConnectionEndsTest() throws IOException { }

    private Socket carriesASetUp(String id) throws Exception {
        onLoop(() -> setUp(id));
        Socket line = server.accept();
        assertTrue(message(reader(line)).contains(id));
        return line;
    }

    private void served(Socket line, String id) throws Exception {
        say(line, "RTSP/1.0 200 OK\r\nCSeq: 1\r\nSession: " + id, "mine");
        assertEquals("started " + id + " mine", told.take());
    }

    @Test
    void anEndThatCrossesTheGatewaysCloseOfAnUnusedConnectionIsRead() throws Exception {
        Socket first = carriesASetUp("00000000000000aa");
        Socket second = carriesASetUp("00000000000000bb");
        served(first, "00000000000000aa");
        served(second, "00000000000000bb");
        onLoop(() -> client.freeLinks(host));
        assertEquals(-1, first.getInputStream().read(), "it is given back");
        say(first, END, "");
        assertEquals("ended 00000000000000aa OK", told.take());
    }

    /** The host speaks on another connection all the while, and says the end again on the next that is opened. */
    @Test
    void afterAConnectionEndedANewOneIsTriedUntilOneComesUpThoughTheHostSpeaksOnAnother() throws Exception {
        Socket first = carriesASetUp("00000000000000aa");
        Socket second = carriesASetUp("00000000000000bb");
        served(first, "00000000000000aa");
        served(second, "00000000000000bb");
        onLoop(() -> client.follow(host, true));
        server.close();
        first.close();
        String note = "ANNOUNCE rtsp://media/s RTSP/1.0\r\nSession: 00000000000000bb\r\nX-Diagnosis: served\r\nX-Reading: 0.7";
        for (int i = 0; i < 3; i++) {
            say(second, note, "");
            assertEquals("delivered 00000000000000bb 0.7", told.take());
            TimeUnit.MILLISECONDS.sleep(100); // The host's own pace; it refuses connections meanwhile.
        }
        try (ServerSocket again = new ServerSocket()) {
            again.setReuseAddress(true);
            again.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), host.port()));
            say(second, note, "");
            again.setSoTimeout(1_000); // The protocol's time for an end to reach its client.
            say(again.accept(), END, "");
            assertEquals("delivered 00000000000000bb 0.7", told.take());
            assertEquals("ended 00000000000000aa OK", told.take());
        }
    }

    @Test
    void aReleaseThatItsHostHasNotShownToReadIsSaidAgainHoweverLateItsConnectionBreaks() throws Exception {
        onLoop(() -> client.follow(host, true));
        try (Socket first = server.accept()) {
            BufferedReader in = reader(first);
            onLoop(() -> client.release(host, "00000000000000aa.0"));
            assertTrue(message(in).startsWith(RELEASE));
            TimeUnit.MILLISECONDS.sleep(2_600); // The host stands still, its connection stays.
            first.setSoLinger(true, 0);
        }
        try (Socket second = server.accept()) {
            BufferedReader in = reader(second);
            String said = message(in);
            while (said.startsWith("OPTIONS")) {
                said = message(in); // It was tested meanwhile.
            }
            assertTrue(said.startsWith(RELEASE) && said.contains("00000000000000aa"), said);
        }
    }

    @Test
    void aReleaseToAHostThatIsOutOfReachIsTriedAgain() throws Exception {
        server.close();
        onLoop(() -> client.release(host, "00000000000000aa.0"));
        awaitNoConnection();
        try (ServerSocket again = new ServerSocket()) {
            again.setReuseAddress(true);
            again.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), host.port()));
            again.setSoTimeout(10_000);
            String said = message(reader(again.accept()));
            assertTrue(said.startsWith(RELEASE) && said.contains("00000000000000aa"), said);
        }
    }

    /** Guards against sessions left standing at a host that counted as lost while their release waited for a connection to it. */
    @Test
    void aReleaseThatWaitsAsItsHostCountsAsLostIsSaidOnceTheHostIsReached() throws Exception {
        onLoop(() -> client.follow(host, true));
        Socket first = server.accept();
        server.close();
        first.close();
        awaitConnections(0);
        onLoop(() -> client.release(host, "00000000000000aa.0"));
        assertEquals("lost 7", told.take());
        try (ServerSocket again = new ServerSocket()) {
            again.setReuseAddress(true);
            again.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), host.port()));
            again.setSoTimeout(10_000);
            String said = message(reader(again.accept()));
            assertTrue(said.startsWith(RELEASE) && said.contains("00000000000000aa"), said);
        }
    }

    /** Guards against a host's one repeat of its ends on a connection that was reset for a set-up before it was taken. */
    @Test
    void afterAResetInAHostsSilenceNoSetUpGoesOutOnTheConnectionThatItMayNotHaveTaken() throws Exception {
        onLoop(() -> client.follow(host, true));
        Socket first = server.accept();
        say(first, END.replace("aa", "dd"), "");
        assertEquals("ended 00000000000000dd OK", told.take());
        HostClient.Call[] call = new HostClient.Call[1];
        onLoop(() -> call[0] = setUp("00000000000000bb"));
        BufferedReader in = reader(first);
        assertTrue(message(in).startsWith("RTSP/1.0 200"));
        assertTrue(message(in).startsWith("SETUP"));
        onLoop(() -> call[0].withdraw());
        assertEquals("back 00000000000000bb WITHDRAWN", told.take());
        Socket second = server.accept();
        onLoop(() -> setUp("00000000000000cc"));
        assertEquals("back 00000000000000cc NOT_SENT", told.take());
        say(second, END, "");
        assertEquals("ended 00000000000000aa OK", told.take());
        onLoop(() -> setUp("00000000000000ee"));
        BufferedReader spokenTo = reader(second);
        String said = message(spokenTo);
        while (!said.startsWith("SETUP")) {
            said = message(spokenTo);
        }
        assertTrue(said.contains("00000000000000ee"), "the host has spoken: " + said);
    }

    /** Guards against ends on a connection that is discarded, which the host repeats on the next one alone. */
    @Test
    void anEndOnAConnectionThatCantBeReadAnyMoreIsFollowedByAnotherConnection() throws Exception {
        onLoop(() -> client.follow(host, true));
        Socket first = server.accept();
        say(first, END.replace("aa", "dd"), "");
        assertEquals("ended 00000000000000dd OK", told.take());
        onLoop(() -> setUp("00000000000000bb", 100_000_000L));
        BufferedReader in = reader(first);
        assertTrue(message(in).startsWith("RTSP/1.0 200"));
        assertTrue(message(in).startsWith("SETUP"));
        assertTrue(message(in).startsWith("TEARDOWN"), "its end is still to be proved");
        first.getOutputStream().write("noise\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
        Socket second = server.accept();
        say(second, END.replace("aa", "cc"), "");
        assertEquals("ended 00000000000000cc OK", told.take());
        say(first, END, "");
        server.setSoTimeout(1_000); // The protocol's time for an end to reach its client.
        say(server.accept(), END, "");
        assertEquals("ended 00000000000000aa OK", told.take());
    }

    private static void assertReleased(Socket line, String id) throws IOException {
        line.setSoTimeout(10_000);
        String said = message(reader(line));
        assertTrue(said.startsWith(RELEASE) && said.contains(id), said);
    }

    /** Guards against sessions that stand by an answer behind another one that can't be read. */
    @Test
    void aSetUpWhoseConnectionBecomesUnreadableIsEndedAtItsHostAsItsAnswerMayBeAmongTheRest() throws Exception {
        onLoop(() -> setUp("00000000000000aa"));
        Socket line = server.accept();
        BufferedReader in = reader(line);
        assertTrue(message(in).contains("00000000000000aa"));
        say(line, "RTSP/1.0 200 OK\r\nCSeq: 1\r\nSession: 00000000000000aa", "mine");
        assertEquals("started 00000000000000aa mine", told.take());
        onLoop(() -> setUp("00000000000000bb"));
        assertTrue(message(in).contains("00000000000000bb"));
        line.getOutputStream().write("\u0001 noise\r\n\r\nRTSP/1.0 200 OK\r\nCSeq: 1\r\nSession: 00000000000000bb\r\nContent-Length: 6\r\n\r\nmine\r\n"
            .getBytes(StandardCharsets.ISO_8859_1));
        try (Socket next = server.accept()) {
            assertReleased(next, "00000000000000bb");
        }
    }

    /** Guards against sessions that stand by an answer that was lost with its connection. */
    @Test
    void aSetUpWhoseConnectionIsResetIsEndedAtItsHostAsItsAnswerMayBeLost() throws Exception {
        Socket line = carriesASetUp("00000000000000aa");
        line.setSoLinger(true, 0);
        line.close();
        assertEquals("back 00000000000000aa BROKEN", told.take());
        try (Socket next = server.accept()) {
            assertReleased(next, "00000000000000aa");
        }
    }

    /** Guards against two attempts out at once: what ends the session of the one before was taken for the end of the one that followed there. */
    @Test
    void theEndOfAnEarlierAttemptsSessionIsNoProofThatTheNextAttemptAtThatHostIsOver() throws Exception {
        Socket first = carriesASetUp("00000000000000aa");
        first.setSoLinger(true, 0);
        first.close();
        assertEquals("back 00000000000000aa BROKEN", told.take());
        try (Socket next = server.accept()) {
            next.setSoTimeout(10_000);
            BufferedReader in = reader(next);
            assertTrue(message(in).startsWith(RELEASE));
            onLoop(() -> setUp("00000000000000aa"));
            assertTrue(message(in).startsWith("SETUP"));
            say(next, END, "");
            assertTrue(message(in).startsWith("RTSP/1.0 200"));
            assertTrue(message(in).startsWith(RELEASE), "the attempt is cancelled");
            assertTrue(told.isEmpty(), "its host may hold it still");
        }
        assertEquals("back 00000000000000aa BROKEN", told.take());
    }

    @Test
    void connectionsThatHostsDoNotEndAreBoundToo() throws Exception {
        int hosts = MOST_LINES + 2 * RtspHostClient.MAX_ENDING;
        Socket[] lines = new Socket[hosts];
        for (int i = 0; i < hosts; i++) {
            HostAddress other = new HostAddress(100 + i, "127.0.0.1", server.getLocalPort());
            onLoop(() -> client.follow(other, true));
            lines[i] = server.accept();
            say(lines[i], END, "");
            assertEquals("ended 00000000000000aa OK", told.take());
            int[] held = new int[1];
            onLoop(() -> held[0] = client.connections());
            assertTrue(held[0] <= MOST_LINES + RtspHostClient.MAX_ENDING, "held " + held[0]);
        }
        for (Socket line : lines) {
            line.close();
        }
    }

    /** Guards against hosts that are never connected to again as no connection could be closed for theirs when they were due. */
    @Test
    void hostsForWhichThereWasNoRoomOnceAreConnectedToInTimeForWhatEnds() throws Exception {
        List<ServerSocket> others = new ArrayList<>();
        List<Thread> processes = new ArrayList<>();
        Set<String> owed = new HashSet<>();
        List<HostAddress> addresses = new ArrayList<>();
        for (int i = 0; i < 3 * MOST_LINES; i++) {
            ServerSocket other = Loopback.server();
            String session = String.format("%016x", 0xa0 + i);
            others.add(other);
            owed.add("ended " + session + " OK");
            addresses.add(new HostAddress(100 + i, "127.0.0.1", other.getLocalPort()));
            processes.add(new Thread(() -> saysOnItsFirstConnection(other, END.replace("00000000000000aa", session))));
        }
        processes.forEach(Thread::start);
        onLoop(() -> addresses.forEach(address -> client.follow(address, true)));
        long until = System.nanoTime() + OWED_WITHIN_NANOS;
        while (!owed.isEmpty() && System.nanoTime() < until) {
            owed.remove(told.poll(until - System.nanoTime(), TimeUnit.NANOSECONDS));
        }
        assertEquals(Set.of(), owed);
        for (ServerSocket other : others) {
            other.close();
        }
        for (Thread process : processes) {
            process.join();
        }
    }

    private static void saysOnItsFirstConnection(ServerSocket host, String what) {
        try (Socket line = host.accept()) {
            say(line, what, "");
            line.getInputStream().transferTo(OutputStream.nullOutputStream());
        } catch (IOException e) {
            // The connection was reset, or the test is over.
        }
    }

    /** Guards against a session that stands for ever at a host that was cut off, and dropped from the list meanwhile. */
    @Test
    void aSessionOfAHostThatHasGoneIsEndedThereOnceItIsListedAgain() throws Exception {
        try (Socket before = carriesASetUp("00000000000000aa")) {
            served(before, "00000000000000aa");
        }
        awaitNoConnection();
        onLoop(() -> client.gone(host, true));
        onLoop(() -> client.release(host, "00000000000000aa.0"));
        onLoop(() -> client.gone(host, false));
        try (Socket again = server.accept()) {
            String said = message(reader(again));
            assertTrue(said.startsWith(RELEASE) && said.contains("00000000000000aa"), said);
        }
    }

    /** The set-up may have reached the host that took the address before the list told of it. */
    @Test
    void aSessionOfAHostThatHasGoneIsEndedAtTheHostThatTookItsAddress() throws Exception {
        HostAddress next = new HostAddress(8, host.host(), host.port());
        try (Socket before = carriesASetUp("00000000000000aa")) {
            served(before, "00000000000000aa");
        }
        awaitNoConnection();
        onLoop(() -> client.follow(host, true));
        try (Socket old = server.accept()) {
            onLoop(() -> client.follow(next, true));
            try (Socket taken = server.accept()) {
                onLoop(() -> client.gone(host, true));
                old.close();
                awaitConnections(1);
                onLoop(() -> client.release(host, "00000000000000aa.0"));
                taken.setSoTimeout(10_000);
                BufferedReader in = reader(taken);
                String said = message(in);
                while (said.startsWith("OPTIONS")) {
                    said = message(in);
                }
                assertTrue(said.startsWith(RELEASE) && said.contains("00000000000000aa"), said);
            }
        }
    }

    private void awaitConnections(int wanted) throws InterruptedException {
        int[] held = {wanted + 1};
        while (held[0] > wanted) {
            onLoop(() -> held[0] = client.connections());
        }
    }
}
