package cypressvalve.host.rtsp;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** The codec of media hosts' messages, and when a host counts as lost. */
class RtspTest {
    private static final String ANSWER = "RTSP/1.0 200 OK\r\nCSeq: 1\r\nSession: 00000000000000aa\r\n"
        + "X-Occupancy: x0:0.4;queue:3\r\nContent-Length: 5\r\n\r\nv=0\r\n";
    private static final String RELEASE = "TEARDOWN rtsp://media/s RTSP/1.0\r\nCSeq: 2\r\nSession: 00000000000000aa\r\n"
        + "Reason: cause=41\r\nContent-Length: 0\r\n\r\n";
    private static final long MS = 1_000_000;

    private static List<Rtsp> read(String text, int step) throws Rtsp.Unreadable {
        Rtsp.Reader reader = new Rtsp.Reader();
        List<Rtsp> all = new ArrayList<>();
        byte[] bytes = text.getBytes(StandardCharsets.ISO_8859_1);
        for (int i = 0; i < bytes.length; i += step) {
            ByteBuffer some = ByteBuffer.wrap(bytes, i, Math.min(step, bytes.length - i));
            for (Rtsp m = reader.next(some); m != null; m = reader.next(some)) {
                all.add(m);
            }
        }
        return all;
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 2, 7, 1000})
    void messagesComeWholeHoweverTheirBytesAreCut(int step) throws Rtsp.Unreadable {
        List<Rtsp> all = read(ANSWER + RELEASE + ANSWER, step);
        assertEquals(3, all.size());
        assertEquals(200, all.get(0).status());
        assertEquals("00000000000000aa", all.get(0).session());
        assertArrayEquals("v=0\r\n".getBytes(StandardCharsets.UTF_8), all.get(0).body());
        assertEquals(0.4, Occupancy.read(all.get(0).field("x-occupancy")).link());
        assertEquals(41, all.get(1).cause());
        assertEquals("TEARDOWN", all.get(1).method());
    }

    @Test
    void whatIsWrittenIsRead() throws Rtsp.Unreadable {
        byte[] body = {1, 2, 3};
        Rtsp read = new Rtsp.Reader().next(ByteBuffer.wrap(
            Rtsp.request("SETUP", "t", 1, "00000000000000aa", body, "X-Quality: 2")));
        assertEquals("SETUP", read.method());
        assertEquals("2", read.field("x-quality"));
        assertArrayEquals(body, read.body());
    }

    @ParameterizedTest
    @ValueSource(strings = {"\u0001\u0002noise", "RTSP/1.0 xx\r\nContent-Length: 0\r\n\r\n", "GET / HTTP/1.1\r\n\r\n",
        "RTSP/1.0 200 OK\r\nCSeq: 1\r\n\r\n", "RTSP/1.0 200 OK\r\nContent-Length: 3000000000\r\n\r\n",
        "RTSP/1.0 200 OK\r\nContent-Length: -1\r\n\r\n", "RTSP/1.0 200 OK\r\nno field\r\n\r\n",
        "RTSP/1.0 200 OK\r\nContent-Length: 2\r\n\r\nv=0\r\n"})
    void whatIsNoMessageIsUnreadable(String text) {
        assertThrows(Rtsp.Unreadable.class, () -> read(text, text.length()));
    }

    @Test
    void anUnendingLineIsUnreadableBeforeItFillsMemory() {
        String line = "RTSP/1.0 200 OK\r\nX: " + "a".repeat(Rtsp.MOST);
        assertThrows(Rtsp.Unreadable.class, () -> read(line, 4096));
    }

    @Test
    void aBodyThatSwallowedTheNextMessageIsUnreadable() {
        String longer = ANSWER.replace("Content-Length: 5", "Content-Length: " + (5 + 2 + ANSWER.length()));
        assertThrows(Rtsp.Unreadable.class, () -> read(longer + "\r\n" + ANSWER, 4096));
    }

    @ParameterizedTest
    @ValueSource(strings = {"RTSP/1.0 200 OK\r\nCSeq: 1\r\nSession: 00000000000000bb\r\nContent-Length: 0\r\n\r\n",
        "ANNOUNCE rtsp://media/s RTSP/1.0\r\nSession: 00000000000000bb\r\nContent-Length: 0\r\n\r\n"})
    void aBodyThatRunsIntoTheMessageRightBehindItIsUnreadable(String next) {
        String longer = ANSWER.replace("Content-Length: 5", "Content-Length: " + (5 + next.length()));
        assertThrows(Rtsp.Unreadable.class, () -> read(longer + next, 4096));
    }

    /** Guards against heads of very many short fields, each of which costs many times its bytes. */
    @Test
    void aHeadOfVeryManyShortFieldsIsUnreadable() {
        String head = "RTSP/1.0 200 OK\r\nCSeq: 1\r\n" + "a:\n".repeat(1_000);
        assertThrows(Rtsp.Unreadable.class, () -> read(head, 4096));
    }

    @Test
    void halfAMessageIsNone() throws Rtsp.Unreadable {
        assertEquals(List.of(), read(ANSWER.substring(0, ANSWER.length() - 1), 4096));
        assertNull(new Rtsp.Reader().next(ByteBuffer.allocate(0)));
    }

    @Test
    void aHostThatRefusesThriceIsLostAndOneThatAnswersIsNot() {
        Lifeline line = new Lifeline(0, 250 * MS);
        assertEquals(Lifeline.Step.CONNECT, line.step(0, false, false));
        line.began(0);
        assertEquals(Lifeline.Step.NOTHING, line.step(350 * MS, false, true), "one try at a time");
        for (int i = 1; i <= 3; i++) {
            line.unreached(i * 400 * MS);
            line.unreached(i * 400 * MS);
            Lifeline.Step step = line.step(i * 400 * MS, false, false);
            assertEquals(i == 3 ? Lifeline.Step.LOST : Lifeline.Step.CONNECT, step);
        }
        line.heard(1300 * MS);
        assertEquals(Lifeline.Step.NOTHING, line.step(1300 * MS, true, false));
    }

    @Test
    void aHostThatSaysNothingIsTestedAndThenTriedAnew() {
        Lifeline line = new Lifeline(0, 250 * MS);
        assertEquals(Lifeline.Step.NOTHING, line.step(4500 * MS, true, false));
        assertEquals(Lifeline.Step.TEST, line.step(4600 * MS, true, false));
        assertEquals(Lifeline.Step.NOTHING, line.step(4700 * MS, true, false));
        assertEquals(Lifeline.Step.CONNECT, line.step(5600 * MS, true, false), "no answer: does a connection come up?");
        line.connected(5610 * MS);
        assertEquals(Lifeline.Step.NOTHING, line.step(5700 * MS, true, false), "it stands still, but lives");
    }

    /** Its viewers are owed the end within 8 s, looks are 250 ms apart, and each try takes its whole time. */
    @ParameterizedTest
    @ValueSource(longs = {100, 250, 400, 1000})
    void aHostThatVanishedIsKnownToBeLostInTime(long connectMs) {
        Lifeline line = new Lifeline(0, connectMs * MS);
        long tried = -1;
        int tests = 0;
        Lifeline.Step step = Lifeline.Step.NOTHING;
        long now = 1;
        for (; step != Lifeline.Step.LOST && now < 20_000 * MS; now += 250 * MS) {
            if (tried >= 0 && now - tried >= connectMs * MS) {
                line.unreached(tried + connectMs * MS);
                tried = -1;
            }
            step = line.step(now, true, tried >= 0);
            if (step == Lifeline.Step.CONNECT) {
                line.began(now);
                tried = now;
            }
            tests += step == Lifeline.Step.TEST ? 1 : 0;
        }
        assertTrue(now < 7800 * MS, "lost at " + now / MS + " ms");
        assertEquals(1, tests);
    }
}
