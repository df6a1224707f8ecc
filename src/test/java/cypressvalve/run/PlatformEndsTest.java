package cypressvalve.run;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Whatever ends at an instant at which something is still owed. Bad orders are made to happen: the loop is held up while
 * bytes and closes arrive, or a peer's answer shows that the gateway has come so far.
 */
@Timeout(30)
class PlatformEndsTest extends NodeScene {
    private static final String HOME = "home:0;copies:1;top:2";
    private static final String STANDS = HOME + ";at:h-1";
    private long pings = 1L << 40;

    /** After two tests all that had come before the first was taken. */
    private void settled(Socket viewer) throws IOException {
        for (int i = 0; i < 2; i++) {
            viewer.getOutputStream().write(message(52, ++pings));
            assertEquals("53 " + pings + " 1", heard(viewer));
        }
    }

    /** The same, where something else is told before. */
    private void settled(Socket viewer, String toldBefore) throws IOException {
        viewer.getOutputStream().write(message(52, ++pings));
        String told = heard(viewer);
        if (!told.equals(toldBefore)) {
            assertEquals("53 " + pings + " 1", told);
            assertEquals(toldBefore, heard(viewer));
        } else {
            assertEquals("53 " + pings + " 1", heard(viewer));
        }
    }

    private static void end(Socket line, String session, int cause) throws IOException {
        say(line, "TEARDOWN rtsp://media/s RTSP/1.0\r\nCSeq: 2\r\nSession: " + session + "\r\nReason: cause=" + cause, "");
    }

    /** The next request to the host that is no test. */
    private static String asked(Socket line, BufferedReader in) throws IOException {
        String asked = head(in);
        while (asked.startsWith("OPTIONS")) {
            String id = asked.replaceAll("(?s).*Session: ([0-9a-f]*).*", "$1");
            say(line, "RTSP/1.0 200 OK\r\nCSeq: 3\r\nSession: " + id + "\r\nX-Occupancy: x0:0.1", "");
            asked = head(in);
        }
        return asked;
    }

    /** A session that plays, handed over on that connection; the host's line. */
    private Socket stands(Socket viewer, long id) throws IOException {
        viewer.getOutputStream().write(setUp(id, "a", STANDS));
        settled(viewer);
        return host.accept();
    }

    private static void reset(Socket socket) throws IOException {
        socket.setSoLinger(true, 0);
        socket.close();
    }

    /** Returns once the loop has run what was handed to it before: sockets that are ready may be read first. */
    private void awaitTasksOfTheLoop() throws InterruptedException {
        CountDownLatch ran = new CountDownLatch(1);
        node.onLoop(ran::countDown);
        ran.await();
    }

    private CountDownLatch heldUp() throws InterruptedException {
        CountDownLatch stands = new CountDownLatch(1);
        CountDownLatch goOn = new CountDownLatch(1);
        node.onLoop(() -> {
            stands.countDown();
            try {
                goOn.await(10, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
        stands.await();
        return goOn;
    }

    /** Whoever closed or cancelled while the loop was late is gone: no try begins. */
    @Test
    void noTryBeginsForAViewerWhoLeftBeforeItWasRead() throws Exception {
        try (Socket stays = viewer(); Socket cancels = viewer(); Socket closes = viewer(); Socket breaks = viewer()) {
            settled(stays);
            settled(cancels);
            settled(closes);
            settled(breaks);
            CountDownLatch goOn = heldUp();
            closes.getOutputStream().write(setUp(21, "a", HOME));
            closes.close();
            breaks.getOutputStream().write(setUp(22, "a", HOME));
            reset(breaks);
            cancels.getOutputStream().write(setUp(23, "a", HOME));
            cancels.getOutputStream().write(message(12, 23, "171", "\u0010"));
            goOn.countDown();
            assertEquals("16 23 ", heard(cancels));
            settled(stays);
            stays.getOutputStream().write(setUp(24, "a", HOME));
            try (Socket line = host.accept()) {
                BufferedReader in = reader(line);
                String first = asked(line, in);
                assertTrue(first.startsWith("SETUP") && first.contains("Session: 0000000000000018"), first);
            }
        }
    }

    /** Written to a connection that broke before it was read, an end goes out again. */
    @Test
    void anEndOnAConnectionThatBreaksIsToldOnOthers() throws Exception {
        try (Socket first = viewer(); Socket second = viewer(); Socket third = viewer()) {
            settled(second);
            settled(third);
            Socket line = stands(first, 8);
            BufferedReader in = reader(line);
            end(line, "0000000000000008", 16);
            assertTrue(head(in).startsWith("RTSP/1.0 200"));
            settled(second); // The end was written: the host's word was answered before this.
            reset(first);
            assertEquals("12 8 16", heard(second));
            assertEquals("12 8 16", heard(third), "either may be no usual viewer's");
        }
    }

    /** What its viewer says it has heard is owed no more. */
    @Test
    void anEndThatWasHeardIsNotToldAgain() throws Exception {
        try (Socket first = viewer(); Socket second = viewer()) {
            settled(second);
            Socket line = stands(first, 8);
            end(line, "0000000000000008", 16);
            assertEquals("12 8 16", heard(first));
            first.getOutputStream().write(message(16, 8));
            settled(first);
            reset(first);
            settled(second);
            settled(second);
        }
    }

    @Test
    void anEndThatIsOwedGoesOutWithAHandOverAndWithATest() throws Exception {
        Socket first = viewer();
        Socket line = stands(first, 8);
        BufferedReader in = reader(line);
        first.close();
        end(line, "0000000000000008", 16);
        assertTrue(head(in).startsWith("RTSP/1.0 200"));
        try (Socket test = viewer(); Socket over = viewer()) {
            test.getOutputStream().write(message(52, 7));
            assertEquals("12 8 16", heard(test));
            assertEquals("53 7 1", heard(test));
            over.getOutputStream().write(setUp(9, "a", STANDS));
            assertEquals("12 8 16", heard(over), "the first may be no usual viewer's");
        }
    }

    @Test
    void anEndOnAConnectionThatIsResetLongAfterItIsToldOnOthers() throws Exception {
        try (Socket first = viewer(); Socket second = viewer()) {
            settled(second);
            Socket line = stands(first, 8);
            BufferedReader in = reader(line);
            end(line, "0000000000000008", 16);
            assertTrue(head(in).startsWith("RTSP/1.0 200"));
            answersOnOtherConnectionsFor(2_300); // Its client stands still, and reads nothing.
            reset(first);
            settled(second, "12 8 16");
        }
    }

    @Test
    void whereOnlyAConnectionIsLeftOnWhichNothingWasSaidAnEndIsToldThere() throws Exception {
        Socket first = viewer();
        Socket line = stands(first, 8);
        try (Socket fresh = viewer()) {
            first.close();
            awaitTasksOfTheLoop();
            end(line, "0000000000000008", 16);
            assertEquals("12 8 16", heard(fresh));
        }
    }

    /** What its client says may be read before the hand-over on another connection. */
    @Test
    void aReleaseThatIsReadBeforeItsHandOverEndsTheSession() throws Exception {
        try (Socket viewer = viewer(); Socket other = viewer(); Socket third = viewer()) {
            Socket line = stands(third, 7);
            BufferedReader in = reader(line);
            other.getOutputStream().write(message(12, 8, "171", "\u0010"));
            assertEquals("16 8 ", heard(other));
            viewer.getOutputStream().write(setUp(8, "a", STANDS));
            String asked = asked(line, in);
            assertTrue(asked.startsWith("TEARDOWN") && asked.contains("Session: 0000000000000008"), asked);
        }
    }

    /** The address may be another host's by now, which serves what was sent to the one before. */
    @Test
    void whatIsOverAsItsHostHasGoneIsEndedAtWhoeverAnswersThere() throws Exception {
        try (Socket viewer = viewer()) {
            Socket line = stands(viewer, 8);
            BufferedReader in = reader(line);
            tell(event(2, "DELETED", 0));
            assertEquals("12 8 41", heard(viewer));
            String asked = asked(line, in);
            assertTrue(asked.startsWith("TEARDOWN") && asked.contains("Session: 0000000000000008"), asked);
        }
    }

    /** What the client said before it reset the connection counts, though a write to it finds the reset first. */
    @Test
    void aReleaseOnAConnectionThatIsResetRightBehindItEndsTheSession() throws Exception {
        Socket viewer = viewer();
        Socket line = stands(viewer, 8);
        BufferedReader in = reader(line);
        viewer.getOutputStream().write(setUp(7, "a", STANDS));
        settled(viewer);
        CountDownLatch goOn = heldUp();
        end(line, "0000000000000007", 16);
        viewer.getOutputStream().write(message(12, 8, "171", "\u0010"));
        reset(viewer);
        goOn.countDown();
        String asked = asked(line, in);
        while (!asked.startsWith("TEARDOWN")) {
            asked = asked(line, in);
        }
        assertTrue(asked.contains("Session: 0000000000000008"), asked);
    }

    @Test
    void noAttemptBeginsWhereTheCancelIsReadBeforeItsSetUp() throws Exception {
        try (Socket viewer = viewer(); Socket other = viewer()) {
            other.getOutputStream().write(message(12, 8, "171", "\u0010"));
            assertEquals("16 8 ", heard(other));
            viewer.getOutputStream().write(setUp(8, "a", HOME));
            settled(viewer);
            viewer.getOutputStream().write(setUp(9, "a", HOME));
            try (Socket line = host.accept()) {
                String first = asked(line, reader(line));
                assertTrue(first.startsWith("SETUP") && first.contains("Session: 0000000000000009"), first);
            }
        }
    }

    /** The front hands over what the gateway held, and the end was told just before. */
    @Test
    void aHandOverThatCrossesTheSessionsEndMakesNoSession() throws Exception {
        try (Socket viewer = viewer(); Socket other = viewer()) {
            Socket line = stands(viewer, 8);
            end(line, "0000000000000008", 16);
            assertEquals("12 8 16", heard(viewer));
            other.getOutputStream().write(setUp(8, "a", STANDS));
            assertEquals("12 8 16", heard(other), "it is over still");
        }
    }

    /** After a restart the host says what ended on the first line, and that may come before the front's word of it. */
    @Test
    void anEndThatComesBeforeItsHandOverIsTold() throws Exception {
        try (Socket viewer = viewer(); Socket other = viewer()) {
            Socket line = stands(other, 7);
            BufferedReader in = reader(line);
            end(line, "0000000000000008", 41);
            assertTrue(head(in).startsWith("RTSP/1.0 200"));
            settled(other);
            viewer.getOutputStream().write(setUp(8, "a", STANDS));
            assertEquals("12 8 41", heard(viewer));
        }
    }

    /** What another host says of that name is not this session's end. */
    @Test
    void anEndThatAnotherHostSaidBeforeTheHandOverIsNotTheSessions() throws Exception {
        try (Socket viewer = viewer(); Socket other = viewer()) {
            Socket line = stands(other, 7);
            BufferedReader in = reader(line);
            end(line, "0000000000000008", 41);
            assertTrue(head(in).startsWith("RTSP/1.0 200"));
            settled(other);
            viewer.getOutputStream().write(setUp(8, "a", HOME + ";at:h-2"));
            settled(viewer);
        }
    }

    /** Guards against sessions that are handed over at a host that is not known, and whose client is told of their end on a connection that breaks. */
    @Test
    void whatCannotBeTakenOverIsToldAgainWhereItsConnectionBreaks() throws Exception {
        try (Socket first = viewer(); Socket second = viewer()) {
            settled(second);
            first.getOutputStream().write(setUp(8, "a", HOME + ";at:h-9"));
            assertEquals("12 8 41", heard(first));
            reset(first);
            assertEquals("12 8 41", heard(second));
        }
    }

    private static String event(int number, String state, long startedMs) {
        return "id: " + number + "\ndata: {\"index\":" + number + ",\"endpoints\":{\"generation\":2,\"reset\":false,\"instances\":["
            + "{\"instanceId\":\"h-1\",\"hostPort\":\"127.0.0.1:PORT\",\"zone\":\"z\",\"machineType\":\"std\",\"cell\":0,\"lifecycle\":\""
            + state + "\",\"weight\":1,\"startedAtMs\":" + startedMs + "}]}}\n\n";
    }

    private void tell(String event) throws IOException {
        stream.getOutputStream().write(event.replace("PORT", String.valueOf(host.getLocalPort())).getBytes(StandardCharsets.UTF_8));
    }

    /** Whoever takes connections at its address afterwards is another host: what played there is over. */
    @Test
    void whatPlayedAtAHostThatHasGoneIsOverThoughItsAddressIsTaken() throws Exception {
        try (Socket viewer = viewer()) {
            Socket line = stands(viewer, 8);
            BufferedReader in = reader(line);
            tell(event(2, "DELETED", 0));
            end(line, "0000000000000001", 16); // Of no session: its answer shows that the loop has turned.
            assertTrue(head(in).startsWith("RTSP/1.0 200"));
            settled(viewer);
            reset(line);
            assertEquals("12 8 41", heard(viewer));
        }
    }

    /** A host that was started anew unseen carries nothing of what began before. */
    @Test
    void whatBeganBeforeAHostsStartIsOver() throws Exception {
        try (Socket viewer = viewer()) {
            stands(viewer, 8);
            tell(event(2, "SERVING", System.currentTimeMillis() + 1000));
            assertEquals("12 8 41", heard(viewer));
        }
    }

    /** The platform sends requests for a while after its word to end: they are served, but tests fail. */
    @Test
    void afterTheWordToEndRequestsAreServedAWhileAndTestsFail() throws Exception {
        try (Socket viewer = viewer(); Socket test = viewer()) {
            settled(viewer);
            CountDownLatch done = new CountDownLatch(1);
            node.drain(done::countDown);
            node.drain(done::countDown);
            awaitTasksOfTheLoop();
            test.getOutputStream().write(message(52, 7));
            assertEquals("53 7 0", heard(test));
            viewer.getOutputStream().write(setUp(8, "a", HOME));
            Socket line = served("0000000000000008");
            assertEquals("9 8 host's", heard(viewer));
            assertFalse(done.await(900, TimeUnit.MILLISECONDS), "what plays plays on");
            end(line, "0000000000000008", 16);
            assertEquals("12 8 16", heard(viewer));
            assertTrue(done.await(10, TimeUnit.SECONDS));
        }
    }

    /** The loop stands still while the last time runs out: what came meanwhile is refused, not taken along. */
    @Test
    void whatComesUnreadAtTheVeryEndIsRefused() throws Exception {
        try (Socket known = viewer(); Socket fresh = viewer()) {
            settled(known);
            CountDownLatch done = new CountDownLatch(1);
            node.drain(done::countDown);
            CountDownLatch goOn = heldUp();
            known.getOutputStream().write(setUp(8, "a", HOME));
            fresh.getOutputStream().write(setUp(9, "a", HOME));
            assertFalse(done.await(1, TimeUnit.SECONDS));
            goOn.countDown();
            assertEquals("12 8 34", heard(known));
            assertEquals("12 9 34", heard(fresh));
            assertTrue(done.await(10, TimeUnit.SECONDS));
            assertEquals(-1, known.getInputStream().read(), "closed after its answer");
        }
    }

    /** On a late loop a set-up may have waited unread since long before its connection is looked at as idle. */
    @Test
    void aConnectionIsNotClosedForSilenceOverASetUpThatWaitsUnread() throws Exception {
        try (Socket viewer = viewer()) {
            CountDownLatch goOn = heldUp();
            viewer.getOutputStream().write(setUp(8, "a", HOME));
            assertFalse(goOn.await(1900, TimeUnit.MILLISECONDS)); // Over the time of a connection that says nothing.
            goOn.countDown();
            String answer = heard(viewer);
            assertEquals("12 8 34", answer, "its time is up, but it is answered");
            assertTrue(log.stream().noneMatch(l -> l.startsWith("failed")), log.toString());
        }
    }

    @Test
    void aRequestInPiecesAfterAQuietTimeIsNotCutOff() throws Exception {
        try (Socket viewer = viewer()) {
            settled(viewer);
            byte[] whole = setUp(8, "a", HOME);
            viewer.getOutputStream().write(whole, 0, 5);
            answersOnOtherConnectionsFor(2_000);
            viewer.getOutputStream().write(whole, 5, whole.length - 5);
            served("0000000000000008");
            assertEquals("9 8 host's", heard(viewer));
        }
    }

    @Test
    void anOpenRequestIsAnsweredThoughItsConnectionStopsWithinAMessage() throws Exception {
        try (Socket viewer = viewer()) {
            viewer.getOutputStream().write(setUpWithin(2_900, 8));
            viewer.getOutputStream().write(setUp(9, "a", HOME), 0, 5);
            Socket line = host.accept();
            BufferedReader in = reader(line);
            while (!asked(line, in).startsWith("SETUP")) {
                continue;
            }
            answersOnOtherConnectionsFor(2_000);
            line.close(); // The attempt, which was given up meanwhile, is over by that.
            served("0000000000000008");
            assertEquals("9 8 host's", heard(viewer));
            assertEquals(-1, viewer.getInputStream().read(), "then it is closed");
        }
    }

    /** Time in which the gateway looks after its connections several times, told by its answers to tests. */
    private void answersOnOtherConnectionsFor(long millis) throws Exception {
        long until = System.nanoTime() + millis * 1_000_000;
        try (Socket other = viewer()) {
            while (System.nanoTime() < until) {
                settled(other);
                Thread.onSpinWait();
            }
        }
    }

    /** What was told while a gateway started is known before it passes a test: nothing new goes to a host that drains. */
    @Test
    void aGatewayIsReadyOnceItsListIsCurrent() throws Exception {
        CountDownLatch answer = new CountDownLatch(1);
        Thread late = new Thread(() -> {
            try (Socket asked = next.accept()) {
                head(reader(asked));
                answer.await();
                asked.getOutputStream().write((OK + event(2, "DRAINING", 0).replace("PORT", "2")).getBytes(StandardCharsets.UTF_8));
                asked.getInputStream().read();
            } catch (IOException | InterruptedException e) {
                log.add(e.toString());
            }
        });
        late.start();
        PlatformNode other = new PlatformNode(settings(next), () -> null, log::add, cause -> log.add("failed " + cause));
        Thread starts = new Thread(() -> {
            try {
                other.start();
            } catch (IOException e) {
                log.add(e.toString());
            }
        });
        starts.start();
        starts.join(1300); // Longer than the rest of a start takes; the answer is waited for.
        assertTrue(starts.isAlive());
        answer.countDown();
        starts.join();
        try (Socket viewer = new Socket("127.0.0.1", other.port())) {
            viewer.setSoTimeout(10_000);
            viewer.getOutputStream().write(setUp(8, "a", HOME));
            assertEquals("12 8 34", heard(viewer), "its only holder drains");
        }
        other.kill();
        late.join();
    }

    /** Who sends another's set-up again, changed, may be read first: neither is served by the other's word. */
    @Test
    void ofTwoThatBringOneIdInOneTurnNeitherIsServed() throws Exception {
        try (Socket one = viewer(); Socket other = viewer(); Socket third = viewer()) {
            settled(one);
            settled(other);
            CountDownLatch goOn = heldUp();
            one.getOutputStream().write(setUp(8, "a", HOME));
            other.getOutputStream().write(setUp(8, "b", HOME));
            goOn.countDown();
            assertEquals("12 8 34", heard(one));
            assertEquals("12 8 34", heard(other));
            third.getOutputStream().write(setUp(9, "a", HOME));
            served("0000000000000009");
            assertEquals("9 9 host's", heard(third));
        }
    }

    /** Its first use is over, so nothing is in use; but no viewer uses an id twice. */
    @Test
    void anIdIsNotUsedAgainAfterItsEnd() throws Exception {
        try (Socket viewer = viewer(); Socket again = viewer()) {
            viewer.getOutputStream().write(setUp(8, "a", HOME));
            Socket line = served("0000000000000008");
            assertEquals("9 8 host's", heard(viewer));
            end(line, "0000000000000008", 16);
            assertEquals("12 8 16", heard(viewer));
            settled(again);
            again.getOutputStream().write(setUp(8, "b", HOME));
            assertEquals(-1, again.getInputStream().read());
        }
    }
}
