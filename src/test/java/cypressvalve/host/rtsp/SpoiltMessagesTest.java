package cypressvalve.host.rtsp;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cypressvalve.host.answer.AnswerJudge;
import cypressvalve.soak.DescriptionForm;
import cypressvalve.soak.SpoiltForm;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.constraints.IntRange;

/** Each message of media hosts, each way to spoil it, each split into reads: what is acted on is what a host said. */
class SpoiltMessagesTest {
    private static final String SESSION = "00000000000000aa";
    private static final String UNKNOWN = "00000000000000bb";
    private static final String SEED = "38";

    /** What hosts say, without a body but for the answer. */
    private enum Message {
        ANSWER("RTSP/1.0 200 OK\r\nCSeq: 1\r\nSession: " + SESSION + "\r\nX-Occupancy: x0:0.4\r\n"),
        REFUSAL("RTSP/1.0 453 Not Enough Bandwidth\r\nCSeq: 1\r\nSession: " + SESSION + "\r\n"),
        TEST_ANSWER("RTSP/1.0 200 OK\r\nCSeq: 3\r\nSession: " + SESSION + "\r\nX-Occupancy: x0:0.4\r\n"),
        CANCEL_HEARD("RTSP/1.0 200 OK\r\nCSeq: 2\r\nSession: " + SESSION + "\r\n"),
        RELEASE("TEARDOWN rtsp://media/s RTSP/1.0\r\nCSeq: 2\r\nSession: " + SESSION + "\r\nReason: cause=41\r\n"),
        NOTE("ANNOUNCE rtsp://media/s RTSP/1.0\r\nCSeq: 4\r\nSession: " + SESSION + "\r\nX-Diagnosis: served\r\nX-Reading: 0.7\r\n");

        private final String head;

        Message(String head) {
            this.head = head;
        }

        private byte[] body(DescriptionForm form) {
            return this == ANSWER ? bytes(form.answer("host", SESSION)) : new byte[0];
        }

        private byte[] good(DescriptionForm form) {
            byte[] body = body(form);
            return joined(bytes(head + "Content-Length: " + body.length + "\r\n\r\n"), body);
        }
    }

    /** What a gateway makes of a connection's bytes: acted is what it acts on, in order. */
    private static final class Connection {
        private final Rtsp.Reader reader = new Rtsp.Reader();
        private final AnswerJudge judge;
        private final byte[] offer;
        private final List<String> acted = new ArrayList<>();
        private final List<String> served = new ArrayList<>();
        private byte[] held;
        private boolean open = true;

        private Connection(AnswerJudge judge, byte[] offer) {
            this.judge = judge;
            this.offer = offer;
        }

        private void read(byte[] bytes, List<Integer> sizes) {
            int from = 0;
            for (int i = 0; from < bytes.length && open; i++) {
                int size = Math.min(bytes.length - from, sizes.get(i % sizes.size()));
                try {
                    take(ByteBuffer.wrap(bytes, from, size));
                } catch (Rtsp.Unreadable e) {
                    open = false;
                }
                from += size;
            }
        }

        private void take(ByteBuffer data) throws Rtsp.Unreadable {
            for (Rtsp message = reader.next(data); message != null; message = reader.next(data)) {
                if (held != null) {
                    judge(held, AnswerJudge.Proof.FOLLOWED);
                    held = null;
                }
                boolean answer = message.status() == 200 && message.sequence() == 1 && message.session().equals(SESSION);
                if (answer && served.isEmpty()) {
                    judge(message.body(), AnswerJudge.Proof.NONE);
                } else if (!answer) {
                    acted.add(told(message));
                }
            }
        }

        private void judge(byte[] description, AnswerJudge.Proof proof) throws Rtsp.Unreadable {
            AnswerJudge.Judgement judgement = judge.judge(offer, description, proof);
            switch (judgement.decision()) {
                case ACCEPT -> served.add(new String(description, StandardCharsets.ISO_8859_1));
                case AWAIT_PROOF -> held = description;
                case REJECT -> throw new Rtsp.Unreadable(judgement.why());
            }
        }
    }

    private static String told(Rtsp message) {
        return message.status() + message.method() + " " + message.sequence() + " " + message.session() + " " + message.cause() + " "
            + Occupancy.read(message.field("x-occupancy")) + " " + message.field("x-diagnosis") + Occupancy.figure(message.field("x-reading"));
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    private static byte[] joined(byte[] first, byte[] second) {
        return ByteBuffer.allocate(first.length + second.length).put(first).put(second).array();
    }

    /** A judge that has seen answers of that form, or none. */
    private static AnswerJudge judge(DescriptionForm form, boolean warm) {
        AnswerJudge judge = new AnswerJudge();
        if (warm) {
            judge.judge(bytes(offered(form).offer("another")), bytes(form.answer("another", "another")), AnswerJudge.Proof.FOLLOWED);
        }
        return judge;
    }

    /** How clients describe what such an answer conforms to. */
    private static DescriptionForm offered(DescriptionForm answered) {
        return answered == DescriptionForm.UNENDED ? DescriptionForm.UNENDED : DescriptionForm.PAGE;
    }

    @Provide
    Arbitrary<List<Integer>> reads() {
        return Arbitraries.frequencyOf(net.jqwik.api.Tuple.of(1, Arbitraries.just(List.of(1))),
            net.jqwik.api.Tuple.of(1, Arbitraries.just(List.of(1 << 20))),
            net.jqwik.api.Tuple.of(4, Arbitraries.integers().between(1, 150).list().ofMinSize(1).ofMaxSize(8)));
    }

    @Provide
    Arbitrary<DescriptionForm> descriptions() {
        return Arbitraries.of(DescriptionForm.PAGE, DescriptionForm.UNENDED, DescriptionForm.LINE_FEEDS, DescriptionForm.ADDRESS_BEHIND_STREAM);
    }

    @Property(tries = 6_000, seed = SEED, shrinking = ShrinkingMode.BOUNDED)
    void nothingSpoiltIsServedOrActedOn(@ForAll Message message, @ForAll SpoiltForm form, @ForAll("descriptions") DescriptionForm descriptions,
        @ForAll boolean warm, @ForAll long chance, @ForAll("reads") List<Integer> reads) throws Exception {
        if (message != Message.ANSWER && !form.fitsWithoutBody()) {
            return;
        }
        RandomGenerator random = RandomGeneratorFactory.of("L64X128MixRandom").create(chance);
        byte[] body = message.body(descriptions);
        Connection connection = new Connection(judge(descriptions, warm), bytes(offered(descriptions).offer(SESSION)));
        connection.read(form.spoil(message.head, body, random).bytes(), reads);
        connection.read(Message.NOTE.good(descriptions), reads);
        assertTrue(connection.served.stream().allMatch(new String(body, StandardCharsets.ISO_8859_1)::equals), () -> "served " + connection.served);
        List<String> possible = new ArrayList<>(List.of(told(Message.NOTE)));
        if (message != Message.ANSWER) {
            possible.add(told(message));
        }
        assertTrue(possible.containsAll(connection.acted), () -> "acted on " + connection.acted);
    }

    /** Guards against a gateway that takes the first answers after its start for a form of the fleet's own, as all of them are spoilt. */
    @Property(tries = 3_000, seed = SEED, shrinking = ShrinkingMode.BOUNDED)
    void howeverManyOfTheFirstAnswersAreSpoiltNoneIsServed(@ForAll SpoiltForm form, @ForAll("descriptions") DescriptionForm descriptions,
        @ForAll @IntRange(min = 3, max = 10) int spoilt, @ForAll long chance, @ForAll("reads") List<Integer> reads) throws Exception {
        RandomGenerator random = RandomGeneratorFactory.of("L64X128MixRandom").create(chance);
        AnswerJudge judge = new AnswerJudge();
        for (int i = 0; i < spoilt; i++) {
            byte[] body = bytes(descriptions.answer("host-" + i, SESSION));
            Connection connection = new Connection(judge, bytes(offered(descriptions).offer(SESSION)));
            connection.read(form.spoil(Message.ANSWER.head, body, random).bytes(), reads);
            connection.read(Message.NOTE.good(descriptions), reads);
            assertTrue(connection.served.stream().allMatch(new String(body, StandardCharsets.ISO_8859_1)::equals), () -> "served " + connection.served);
        }
    }

    private static String told(Message message) throws Rtsp.Unreadable {
        return told(new Rtsp.Reader().next(ByteBuffer.wrap(message.good(DescriptionForm.PAGE))));
    }

    @Property(tries = 2_000, seed = SEED, shrinking = ShrinkingMode.BOUNDED)
    void whatIsGoodIsServedOnceHoweverItCame(@ForAll("descriptions") DescriptionForm descriptions, @ForAll boolean warm, @ForAll boolean unknownAhead,
        @ForAll @IntRange(min = 1, max = 3) int copies, @ForAll("reads") List<Integer> reads) throws Exception {
        Connection connection = new Connection(judge(descriptions, warm), bytes(offered(descriptions).offer(SESSION)));
        byte[] good = Message.ANSWER.good(descriptions);
        byte[] all = unknownAhead ? bytes(new String(good, StandardCharsets.ISO_8859_1).replace(SESSION, UNKNOWN)) : new byte[0];
        for (int i = 0; i < copies; i++) {
            all = joined(all, good);
        }
        all = joined(joined(all, Message.TEST_ANSWER.good(descriptions)), Message.RELEASE.good(descriptions));
        connection.read(all, reads);
        assertTrue(connection.open, "unreadable");
        assertEquals(List.of(new String(Message.ANSWER.body(descriptions), StandardCharsets.ISO_8859_1)), connection.served);
        assertEquals(told(Message.RELEASE), connection.acted.get(connection.acted.size() - 1));
    }
}
