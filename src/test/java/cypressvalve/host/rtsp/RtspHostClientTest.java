package cypressvalve.host.rtsp;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cypressvalve.diagnostics.EventLog;
import cypressvalve.host.AttemptGuard;
import cypressvalve.host.HostAddress;
import cypressvalve.host.HostClient;
import cypressvalve.host.HostLimits;
import cypressvalve.host.LoadReport;
import cypressvalve.host.SetUpOrder;
import cypressvalve.model.Verdict;
import cypressvalve.net.Loopback;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

/** What passes between a gateway and one media host. */
@Timeout(20)
class RtspHostClientTest extends RtspScene {
    RtspHostClientTest() throws IOException { }

    @Test
    void aSetUpItsNotesAndItsEndPassBothWays() throws Exception {
        onLoop(() -> setUp("00000000000000aa"));
        try (Socket socket = server.accept()) {
            String asked = message(reader(socket));
            assertTrue(asked.startsWith("SETUP rtsp://media/t RTSP/1.0\nCSeq: 1\nSession: 00000000000000aa\n"), asked);
            assertTrue(asked.contains("X-Cos: paid\n") && asked.contains("X-Quality: 2\n"), asked);
            say(socket, "RTSP/1.0 200 OK\r\nCSeq: 1\r\nSession: 00000000000000bb", "unknown");
            say(socket, "RTSP/1.0 200 OK\r\nCSeq: 1\r\nSession: 00000000000000aa", "mine");
            say(socket, "RTSP/1.0 200 OK\r\nCSeq: 1\r\nSession: 00000000000000aa", "mine");
            say(socket, "ANNOUNCE rtsp://media/s RTSP/1.0\r\nSession: 00000000000000aa\r\nX-Diagnosis: served\r\nX-Reading: 0.7",
                "");
            say(socket, "TEARDOWN rtsp://media/s RTSP/1.0\r\nCSeq: 2\r\nSession: 00000000000000aa\r\nReason: cause=16", "");
            assertEquals("started 00000000000000aa mine", told.take());
            assertEquals("delivered 00000000000000aa 0.7", told.take());
            assertEquals("ended 00000000000000aa OK", told.take());
        }
    }

    /** An answer to the viewer may follow at once: nothing of the set-up may leave after it. */
    @Test
    void whatIsWithdrawnIsGivenUpAtTheHostBeforeTheCallReturns() throws Exception {
        HostClient.Call[] call = new HostClient.Call[1];
        onLoop(() -> call[0] = setUp("00000000000000aa"));
        try (Socket socket = server.accept()) {
            BufferedReader in = reader(socket);
            message(in);
            LinkedBlockingQueue<String> read = new LinkedBlockingQueue<>();
            worker.getIoThread().execute(() -> {
                call[0].withdraw();
                try {
                    told.add(String.valueOf(read.poll(10, TimeUnit.SECONDS))); // The loop does nothing else meanwhile.
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            });
            read.add(message(in).split(" ")[0]);
            assertEquals("TEARDOWN", told.take());
            assertEquals("back 00000000000000aa WITHDRAWN", told.take());
        }
    }

    @Test
    void afterSpoiltBytesTriesEndBrokenAndTheNextGoesOutOnAnotherConnection() throws Exception {
        onLoop(() -> setUp("00000000000000aa"));
        try (Socket socket = server.accept()) {
            message(reader(socket));
            socket.getOutputStream().write("RTSP/1.0 200 OK\r\nContent-Length: 3000000000\r\n\r\n".getBytes(
                StandardCharsets.UTF_8));
            assertEquals(-1, socket.getInputStream().read(), "nothing more is said on it");
            assertTrue(told.isEmpty(), "its host may hold it still");
        }
        assertEquals("back 00000000000000aa BROKEN", told.take());
        onLoop(() -> setUp("00000000000000bb"));
        try (Socket socket = server.accept()) {
            BufferedReader in = reader(socket);
            String owed = message(in);
            assertTrue(owed.startsWith(RELEASE) && owed.contains("00000000000000aa"), "its session may stand: " + owed);
            assertTrue(message(in).contains("00000000000000bb"));
        }
        assertEquals("back 00000000000000bb BROKEN", told.take());
    }

    @Test
    void aTryOnARefusedConnectionProvablyNeverRan() throws Exception {
        server.close();
        onLoop(() -> setUp("00000000000000aa"));
        assertEquals("back 00000000000000aa NO_CONNECTION", told.take());
    }

    /** Its end was lost with the line: the host says it again on the next one. */
    @Test
    void whereSomethingPlaysAClosedLineIsOpenedAnew() throws Exception {
        onLoop(() -> client.follow(host, true));
        server.accept().close();
        try (Socket socket = server.accept()) {
            say(socket, "TEARDOWN rtsp://media/s RTSP/1.0\r\nCSeq: 2\r\nSession: 00000000000000aa\r\nReason: cause=41", "");
            assertEquals("ended 00000000000000aa BROKEN", told.take());
        }
    }

    /** Whoever broke the line may not have read it: a session that nobody ends would hold its seat. */
    @Test
    void aReleaseOnALineThatBreaksIsSaidAgain() throws Exception {
        onLoop(() -> client.follow(host, true));
        try (Socket first = server.accept()) {
            BufferedReader in = reader(first);
            onLoop(() -> client.release(host, "00000000000000aa.0"));
            assertTrue(message(in).startsWith(RELEASE));
            first.setSoLinger(true, 0);
        }
        try (Socket second = server.accept()) {
            String said = message(reader(second));
            assertTrue(said.startsWith(RELEASE) && said.contains("00000000000000aa"), said);
        }
    }

    /** The answer to a set-up that was given up may cross its end, and the line may break before that is read. */
    @Test
    void theEndOfAGivenUpTryOnALineThatBreaksIsSaidAgain() throws Exception {
        HostClient.Call[] call = new HostClient.Call[1];
        onLoop(() -> call[0] = setUp("00000000000000aa"));
        try (Socket first = server.accept()) {
            BufferedReader in = cancelledOn(first, call);
            first.setSoLinger(true, 0);
        }
        assertEquals("back 00000000000000aa WITHDRAWN", told.take());
        try (Socket second = server.accept()) {
            BufferedReader in = reader(second);
            String said = message(in);
            assertTrue(said.startsWith(RELEASE) && said.contains("00000000000000aa"), said);
            onLoop(() -> setUp("00000000000000aa"));
            assertTrue(message(in).startsWith("SETUP"), "a further try goes out behind that");
        }
    }

    /** The host reads the set-up and its cancel; what follows on the connection. */
    private BufferedReader cancelledOn(Socket line, HostClient.Call[] call) throws Exception {
        BufferedReader in = reader(line);
        boolean tested = used != client;
        if (tested) {
            answerTest(line, in);
        }
        message(in);
        onLoop(() -> call[0].withdraw());
        assertTrue(message(in).startsWith("TEARDOWN"));
        if (tested) {
            answerTest(line, in);
        }
        return in;
    }

    @Test
    void aSetUpLeavesOnlyOnceItsHostHasShownThatItReadsTheConnection() throws Exception {
        used = client(true);
        onLoop(() -> setUp("00000000000000aa", 300_000_000L));
        try (Socket line = server.accept()) {
            assertTrue(message(reader(line)).startsWith("OPTIONS"));
            assertEquals("given up 00000000000000aa TIMEOUT", told.take());
            assertEquals("back 00000000000000aa NOT_SENT", told.take());
        }
        awaitNoConnection();
        onLoop(() -> setUp("00000000000000bb"));
        try (Socket line = server.accept()) {
            BufferedReader in = reader(line);
            answerTest(line, in);
            assertTrue(message(in).startsWith("SETUP"));
        }
    }

    @Test
    void aCancelledAttemptIsReportedOverOnlyOnceItsHostHasAnsweredWhatStandsBehindTheCancel() throws Exception {
        used = client(true);
        onLoop(() -> setUp("00000000000000aa", 300_000_000L));
        try (Socket line = server.accept()) {
            BufferedReader in = reader(line);
            answerTest(line, in);
            assertTrue(message(in).startsWith("SETUP"));
            assertTrue(message(in).startsWith("TEARDOWN"));
            assertEquals("given up 00000000000000aa TIMEOUT", told.take());
            assertTrue(told.isEmpty(), "its host may not have read the cancel");
            answerTest(line, in);
            assertEquals("back 00000000000000aa TIMEOUT", told.take());
        }
    }

    /** Guards against a further attempt beside one whose cancel may be unread: what concerned the attempt before passed for its own. */
    @ParameterizedTest
    @ValueSource(strings = {"RTSP/1.0 200 OK\r\nCSeq: 2", "RTSP/1.0 453 Full\r\nCSeq: 1", "TEARDOWN rtsp://media/s RTSP/1.0\r\nCSeq: 2"})
    void whatMayConcernTheAttemptBeforeDoesNotShowThatACancelWasRead(String word) throws Exception {
        HostClient.Call[] call = new HostClient.Call[1];
        onLoop(() -> call[0] = setUp("00000000000000aa"));
        try (Socket first = server.accept()) {
            cancelledOn(first, call);
            first.setSoLinger(true, 0);
        }
        assertEquals("back 00000000000000aa WITHDRAWN", told.take());
        try (Socket second = server.accept()) {
            BufferedReader in = reader(second);
            assertTrue(message(in).startsWith(RELEASE), "the end of the first attempt");
            onLoop(() -> setUp("00000000000000aa", 300_000_000L));
            assertTrue(message(in).startsWith("SETUP"));
            assertTrue(message(in).startsWith(RELEASE), "its time is up");
            say(second, word + "\r\nSession: 00000000000000aa", "");
            say(second, "TEARDOWN rtsp://media/s RTSP/1.0\r\nCSeq: 2\r\nSession: 00000000000000bb\r\nReason: cause=16", "");
            awaitTold("ended 00000000000000bb OK", "back ");
            say(second, "RTSP/1.0 200 OK\r\nCSeq: 2\r\nSession: 00000000000000aa", "");
            say(second, "RTSP/1.0 200 OK\r\nCSeq: 2\r\nSession: 00000000000000aa", "");
            assertEquals("back 00000000000000aa TIMEOUT", told.take());
        }
    }

    private void awaitTold(String wanted, String notBefore) throws InterruptedException {
        for (String word = told.take(); !word.equals(wanted); word = told.take()) {
            assertFalse(word.startsWith(notBefore), word);
        }
    }

    @Test
    void aCancelledAttemptIsReportedOverOnceItsHostHasEndedTheConnection() throws Exception {
        onLoop(() -> setUp("00000000000000aa", 20_000_000L));
        try (Socket line = server.accept()) {
            BufferedReader in = reader(line);
            message(in);
            assertTrue(message(in).startsWith("TEARDOWN"));
            assertEquals(-1, in.read(), "a connection of no use is ended behind that");
            assertTrue(told.isEmpty(), "its host may not have read the cancel");
        }
        assertEquals("back 00000000000000aa TIMEOUT", told.take());
    }

    @Test
    void anAttemptThatHasNotLeftWhenItsHostBeginsToDrainNeverLeaves() throws Exception {
        onLoop(() -> {
            setUp("00000000000000aa");
            client.cancelUnsent(host);
            setUp("00000000000000bb");
        });
        try (Socket line = server.accept()) {
            String first = message(reader(line));
            assertTrue(first.startsWith("SETUP") && first.contains("00000000000000bb"), first);
            assertEquals("back 00000000000000aa NOT_SENT", told.take());
        }
    }

    @Test
    void aRefusalThatMayAnswerTheCancelledAttemptBeforeProvesNothingOfThisOne() throws Exception {
        used = client(true);
        HostClient.Call[] call = new HostClient.Call[1];
        onLoop(() -> call[0] = setUp("00000000000000aa"));
        try (Socket line = server.accept()) {
            BufferedReader in = cancelledOn(line, call);
            assertEquals("back 00000000000000aa WITHDRAWN", told.take());
            onLoop(() -> setUp("00000000000000aa"));
            assertTrue(message(in).startsWith("SETUP"));
            say(line, "RTSP/1.0 453 Full\r\nCSeq: 1\r\nSession: 00000000000000aa", "");
            assertTrue(message(in).startsWith("TEARDOWN"), "it may run, so it is cancelled");
            assertEquals("given up 00000000000000aa ERROR", told.take());
            answerTest(line, in);
            assertEquals("back 00000000000000aa ERROR", told.take());
        }
    }

    @Test
    void aSessionIsOverWhereItsAnswerWasTheOneToTheCancelledAttemptBefore() throws Exception {
        used = client(true);
        HostClient.Call[] call = new HostClient.Call[1];
        onLoop(() -> call[0] = setUp("00000000000000aa"));
        try (Socket line = server.accept()) {
            BufferedReader in = cancelledOn(line, call);
            assertEquals("back 00000000000000aa WITHDRAWN", told.take());
            onLoop(() -> setUp("00000000000000aa"));
            assertTrue(message(in).startsWith("SETUP"));
            say(line, "RTSP/1.0 200 OK\r\nCSeq: 1\r\nSession: 00000000000000aa", "first's");
            assertEquals("started 00000000000000aa first's", told.take());
            say(line, "RTSP/1.0 453 Full\r\nCSeq: 1\r\nSession: 00000000000000aa", "");
            assertEquals("ended 00000000000000aa BROKEN", told.take());
        }
    }

    @Test
    void afterALateRefusalTheNextAttemptTakesAnotherConnection() throws Exception {
        HostClient.Call[] call = new HostClient.Call[1];
        onLoop(() -> call[0] = setUp("00000000000000aa"));
        try (Socket first = server.accept()) {
            BufferedReader in = cancelledOn(first, call);
            say(first, "RTSP/1.0 500 No\r\nCSeq: 1\r\nSession: 00000000000000aa", "");
            assertEquals("back 00000000000000aa WITHDRAWN", told.take());
            say(first, "ANNOUNCE rtsp://media/s RTSP/1.0\r\nSession: 00000000000000cc\r\nX-Diagnosis: served\r\nX-Reading: 0.7", "");
            assertEquals("delivered 00000000000000cc 0.7", told.take(), "the refusal before it was read");
            onLoop(() -> setUp("00000000000000aa"));
            try (Socket second = server.accept()) {
                assertTrue(message(reader(second)).startsWith("SETUP"), "a second copy would pass for its answer");
            }
        }
    }

    /** A second copy of the first answer, some milliseconds late, would pass for the second's. */
    @Test
    void aTryAfterAnAnsweredOneTakesAnotherLine() throws Exception {
        onLoop(() -> setUp("00000000000000aa"));
        try (Socket first = server.accept()) {
            message(reader(first));
            say(first, "RTSP/1.0 500 No\r\nCSeq: 1\r\nSession: 00000000000000aa", "");
            assertEquals("back 00000000000000aa ERROR", told.take());
            onLoop(() -> setUp("00000000000000aa"));
            try (Socket second = server.accept()) {
                message(reader(second));
                say(first, "RTSP/1.0 500 No\r\nCSeq: 1\r\nSession: 00000000000000aa", "");
                say(first, "TEARDOWN rtsp://media/s RTSP/1.0\r\nCSeq: 2\r\nSession: 00000000000000bb\r\nReason: cause=16", "");
                assertEquals("ended 00000000000000bb OK", told.take(), "the copy before it changed nothing");
                say(second, "RTSP/1.0 200 OK\r\nCSeq: 1\r\nSession: 00000000000000aa", "mine");
                assertEquals("started 00000000000000aa mine", told.take());
            }
        }
    }

    /** Its address may be another's by now. */
    @Test
    void aHostThatHasGoneIsNotAskedAtItsAddress() throws Exception {
        onLoop(() -> client.follow(host, true));
        try (Socket line = server.accept()) {
            say(line, "TEARDOWN rtsp://media/s RTSP/1.0\r\nCSeq: 2\r\nSession: 00000000000000aa\r\nReason: cause=16", "");
            assertEquals("ended 00000000000000aa OK", told.take());
            onLoop(() -> client.gone(host, true));
            assertTrue(told.isEmpty(), "as long as its line is up it may still say what ends");
        }
        assertEquals("lost 7", told.take());
    }

    @Test
    void linesToAllHostsTogetherAreBoundAndTheLongestIdleIsClosed() throws Exception {
        Socket[] lines = new Socket[MOST_LINES];
        for (int i = 0; i < MOST_LINES; i++) {
            HostAddress other = new HostAddress(100 + i, "127.0.0.1", server.getLocalPort());
            onLoop(() -> client.follow(other, true));
            lines[i] = server.accept();
            say(lines[i], "TEARDOWN rtsp://media/s RTSP/1.0\r\nCSeq: 2\r\nSession: 000000000000000" + i + "\r\nReason: cause=16", "");
            assertEquals("ended 000000000000000" + i + " OK", told.take());
            message(reader(lines[i]));
        }
        onLoop(() -> setUp("00000000000000aa"));
        try (Socket fresh = server.accept()) {
            assertTrue(message(reader(fresh)).startsWith("SETUP"));
            assertEquals(-1, lines[0].getInputStream().read());
            lines[0].close();
            int[] held = new int[1];
            do {
                onLoop(() -> held[0] = client.connections());
            } while (held[0] > MOST_LINES);
            assertEquals(MOST_LINES, held[0]);
        }
        for (Socket line : lines) {
            line.close();
        }
    }

    /** The loop is held up until the time is just up; the answer came before that and waits unread. */
    @Test
    void anAnswerThatWaitsUnreadWhenItsTimeIsUpCounts() throws Exception {
        LinkedBlockingQueue<Long> due = new LinkedBlockingQueue<>();
        onLoop(() -> {
            due.add(System.nanoTime() + 300_000_000L);
            setUp("00000000000000aa", 300_000_000L);
        });
        try (Socket line = server.accept()) {
            message(reader(line));
            worker.getIoThread().execute(() -> {
                try {
                    say(line, "RTSP/1.0 200 OK\r\nCSeq: 1\r\nSession: 00000000000000aa", "mine");
                    Thread.sleep(Math.max(0, (due.take() - System.nanoTime()) / 1_000_000 + 2));
                } catch (IOException | InterruptedException e) {
                    told.add(e.toString());
                }
            });
            assertEquals("started 00000000000000aa mine", told.take());
        }
    }

    /** Its length is too small by the last line's end, which by itself may stand before a message. */
    @Test
    void anAnswerCutByItsLengthIsNotPassedOn() throws Exception {
        onLoop(() -> setUp("00000000000000aa", 5_000_000_000L, "v=0\r\n"));
        try (Socket line = server.accept()) {
            message(reader(line));
            line.getOutputStream().write(("RTSP/1.0 200 OK\r\nCSeq: 1\r\nSession: 00000000000000aa\r\nContent-Length: 4\r\n\r\n"
                + "mine\r\n").getBytes(StandardCharsets.UTF_8));
            assertEquals(-1, line.getInputStream().read(), "nothing more is said on it");
        }
        assertEquals("back 00000000000000aa BROKEN", told.take());
    }

    /** It died, a line opened at once reached another host at its address, and only then the list says that it has gone. */
    @Test
    void whatAHostCarriedIsOverThoughAnotherAnswersOnItsLine() throws Exception {
        onLoop(() -> client.follow(host, true));
        server.accept().close();
        try (Socket other = server.accept()) {
            BufferedReader in = reader(other);
            onLoop(() -> client.probe(host, (verdict, report) -> told.add("probed " + verdict)));
            String asked = message(in);
            say(other, "RTSP/1.0 200 OK\r\nCSeq: 3\r\nSession: " + asked.replaceAll("(?s).*Session: ([0-9a-f]*).*", "$1"), "");
            assertEquals("probed OK", told.take());
            onLoop(() -> client.gone(host, true));
            assertEquals("lost 7", told.take());
        }
    }
}
