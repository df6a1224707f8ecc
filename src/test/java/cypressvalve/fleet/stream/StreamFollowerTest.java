package cypressvalve.fleet.stream;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cypressvalve.fleet.membership.ListVersion;
import cypressvalve.net.Loopback;
import cypressvalve.net.PollCycles;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;
import java.util.random.RandomGenerator;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

/** The coordinator's stream on loopback; the test is the coordinator and cuts, spoils and falls silent on command. */
@Timeout(20)
class StreamFollowerTest {
    private static final String OK = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n";
    private final ServerSocket coordinator = Loopback.server();
    private final XnioWorker worker = Xnio.getInstance().createWorker(OptionMap.create(Options.WORKER_IO_THREADS, 1));
    private final PollCycles polls = new PollCycles(worker.getIoThread());
    private final LinkedBlockingQueue<ListVersion> taken = new LinkedBlockingQueue<>();
    private final AtomicReference<InetSocketAddress> told = new AtomicReference<>();
    private final LinkedBlockingQueue<String> log = new LinkedBlockingQueue<>();
    private final LinkedBlockingQueue<String> current = new LinkedBlockingQueue<>();
    private final StreamFollower follower = new StreamFollower(polls, ByteBuffer.allocate(4096),
        address(coordinator), 1, 3, Set.of("std"), RandomGenerator.of("L64X128MixRandom"), told::get, taken::add, log::add);

    StreamFollowerTest() throws IOException { }

    private static InetSocketAddress address(ServerSocket server) {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), server.getLocalPort());
    }

    @BeforeEach
    void start() {
        worker.getIoThread().execute(() -> follower.start(() -> current.add("")));
    }

    @AfterEach
    void stop() throws Exception {
        worker.getIoThread().execute(follower::close);
        polls.close();
        worker.shutdownNow();
        coordinator.close();
    }

    /** The next stream that is asked for, after that number. */
    private static Socket asked(ServerSocket at, int after) throws IOException {
        Socket stream = at.accept();
        BufferedReader in = new BufferedReader(new InputStreamReader(stream.getInputStream(), StandardCharsets.ISO_8859_1));
        StringBuilder head = new StringBuilder();
        for (String line = in.readLine(); !line.isEmpty(); line = in.readLine()) {
            head.append(line).append('\n');
        }
        assertTrue(head.toString().startsWith("GET /v2/stream HTTP/1.1\n"), head.toString());
        assertTrue(head.toString().contains("Last-Event-ID: " + after + "\n"), head.toString());
        return stream;
    }

    private static void say(Socket stream, String text) throws IOException {
        stream.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
    }

    private static String entry(String name, String state, String kind) {
        return "{\"instanceId\":\"" + name + "\",\"hostPort\":\"127.0.0.1:2\",\"zone\":\"z\",\"machineType\":\"" + kind
            + "\",\"cell\":0,\"lifecycle\":\"" + state + "\",\"weight\":1,\"startedAtMs\":0}";
    }

    private static String event(int number, boolean reset, String... entries) {
        return "id: " + number + "\ndata: {\"index\":" + number + ",\"endpoints\":{\"generation\":1,\"reset\":" + reset
            + ",\"instances\":[" + String.join(",", entries) + "]}}\n\n";
    }

    /** A host that drains must not be missed because its event could not be read: what follows would hide it for ever. */
    @Test
    void aRefusedEventIsAskedForAnewAndNothingPassesOverIt() throws Exception {
        try (Socket first = asked(coordinator, 1)) {
            say(first, OK + event(2, false, entry("a", "DRAINING", "nobody's")) + event(3, false, entry("b", "SERVING", "std")));
            assertEquals(-1, first.getInputStream().read());
        }
        try (Socket second = asked(coordinator, 1)) {
            say(second, OK + event(2, false, entry("a", "DRAINING", "std")) + event(3, false, entry("b", "SERVING", "std")));
            assertEquals(2, taken.take().version());
            assertEquals(3, taken.take().version());
        }
    }

    @Test
    void numbersThatAreMissingAreAskedFor() throws Exception {
        try (Socket first = asked(coordinator, 1)) {
            say(first, OK + event(3, false, entry("b", "SERVING", "std")));
        }
        try (Socket second = asked(coordinator, 1)) {
            say(second, OK + event(2, false, entry("a", "DRAINING", "std")) + event(3, false, entry("b", "SERVING", "std")));
            assertEquals(2, taken.take().version());
        }
    }

    /** It is not deaf for ever: the rest of an event that stays unreadable counts. */
    @Test
    void whatStaysUnreadableIsTakenAsFarAsItCanBeRead() throws Exception {
        String bad = event(2, false, entry("a", "DRAINING", "std"), entry("b", "SERVING", "nobody's"));
        for (int i = 0; i < 3; i++) {
            try (Socket stream = asked(coordinator, 1)) {
                say(stream, OK + bad);
                assertEquals(-1, stream.getInputStream().read());
            }
        }
        try (Socket stream = asked(coordinator, 1)) {
            say(stream, OK + bad + event(3, false, entry("c", "SERVING", "std")));
            ListVersion two = taken.take();
            assertEquals(1, two.entries().size());
            assertEquals(HostIds.of("a"), two.entries().get(0).address().id());
            assertEquals(3, taken.take().version());
        }
    }

    /**
     * Answers each call so late.
     *
     * @param atOnce what it says as soon as it was asked
     * @return how many calls had come by then
     */
    private int callsUntilHeard(long lateMillis, String atOnce, String later) throws Exception {
        AtomicInteger calls = new AtomicInteger();
        Thread takes = new Thread(() -> {
            try {
                while (true) {
                    Socket stream = asked(coordinator, 1);
                    calls.incrementAndGet();
                    new Thread(() -> answerLate(stream, lateMillis, atOnce, later)).start();
                }
            } catch (IOException e) {
                return; // The test is over.
            }
        });
        takes.start();
        assertEquals(2, taken.take().version());
        return calls.get();
    }

    private static void answerLate(Socket stream, long lateMillis, String atOnce, String later) {
        try (stream) {
            say(stream, atOnce);
            Thread.sleep(lateMillis); // How slow it is.
            say(stream, later);
            stream.getInputStream().read();
        } catch (IOException | InterruptedException e) {
            return; // It was given up.
        }
    }

    /** Guards against a time-out that every call meets: the coordinator was never heard, as each was closed before its answer. */
    @ParameterizedTest
    @ValueSource(longs = {2_000, 3_200, 5_000})
    void aCoordinatorThatAnswersSlowlyIsHeardAtItsFirstAnswer(long lateMillis) throws Exception {
        long begun = System.nanoTime();
        int calls = callsUntilHeard(lateMillis, "", OK + event(2, false, entry("a", "DRAINING", "std")));
        assertTrue(System.nanoTime() - begun < (lateMillis + 500) * 1_000_000L, "the first call was given up");
        assertTrue(calls <= 2, calls + " calls to a coordinator that is slow");
    }

    /** The same of what follows the head of its answer. */
    @Test
    void aCoordinatorWhoseFirstEventIsAlwaysLateIsHeardAtItsFirst() throws Exception {
        long begun = System.nanoTime();
        int calls = callsUntilHeard(2_500, OK, event(2, false, entry("a", "DRAINING", "std")));
        assertTrue(System.nanoTime() - begun < 3_000_000_000L, "the first call was given up");
        assertTrue(calls <= 2, calls + " calls to a coordinator that is slow");
    }

    /** A call that is late does not keep the next from being heard. */
    @Test
    void whileOneCallIsLateTheNextIsHeardAndTheLateOneIsClosed() throws Exception {
        try (Socket dead = asked(coordinator, 1); Socket next = asked(coordinator, 1)) {
            say(next, OK + event(2, false, entry("a", "DRAINING", "std")));
            assertEquals(2, taken.take().version());
            assertEquals(-1, dead.getInputStream().read());
        }
    }

    @Test
    void aWholeListInTheMiddleIsTakenWhateverItsNumber() throws Exception {
        try (Socket stream = asked(coordinator, 1)) {
            say(stream, OK + event(7, true, entry("a", "SERVING", "std")) + event(8, false, entry("b", "SERVING", "std")));
            assertTrue(taken.take().whole());
            assertEquals(8, taken.take().version());
        }
    }

    @Test
    void aStreamThatFallsSilentIsReadAnewHoweverOften() throws Exception {
        try (Socket head = asked(coordinator, 1)) {
            say(head, OK); // Silent right after its head.
            try (Socket event = asked(coordinator, 1)) {
                say(event, OK + event(2, false, entry("a", "DRAINING", "std")));
                say(event, event(3, false, entry("a", "DELETED", "std")).substring(0, 40)); // And in the middle of an event.
                try (Socket next = asked(coordinator, 2)) {
                    say(next, OK + event(3, false, entry("a", "DELETED", "std")));
                    assertEquals(2, taken.take().version());
                    assertEquals(3, taken.take().version());
                }
            }
        }
    }

    @Test
    void anAnswerOtherThanSuccessIsNoListAndIsAskedAgain() throws Exception {
        try (Socket refused = asked(coordinator, 1)) {
            say(refused, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n");
        }
        try (Socket stream = asked(coordinator, 1)) {
            assertTrue(current.isEmpty(), "nothing is known to be current yet");
            say(stream, OK + event(2, false, entry("a", "DRAINING", "std")));
            current.take();
            assertEquals(1, taken.size(), "what was told at once is taken before the list counts as current");
        }
    }

    @Test
    void aMoveBeforeTheStartIsWhereItStarts() throws Exception {
        try (ServerSocket next = Loopback.server()) {
            StreamFollower other = new StreamFollower(polls, ByteBuffer.allocate(4096), address(coordinator), 5, 3,
                Set.of("std"), RandomGenerator.of("L64X128MixRandom"), told::get, taken::add, log::add);
            LinkedBlockingQueue<String> failed = new LinkedBlockingQueue<>();
            worker.getIoThread().execute(() -> {
                try {
                    other.move(address(next));
                } catch (RuntimeException e) {
                    failed.add(e.toString());
                }
                other.start(() -> { });
            });
            asked(next, 5).close();
            assertTrue(failed.isEmpty(), failed.toString());
            worker.getIoThread().execute(other::close);
        }
    }

    /** Homes and what a host carries hang on the number: two names must not be one host. */
    @Test
    void namesThatEndAlikeAreTwoHosts() {
        assertNotEquals(HostIds.of("east-12"), HostIds.of("west-12"));
        assertNotEquals(HostIds.of("s-1"), HostIds.of("s-01"));
    }

    /** The word that it moved may never come, as to a process started with that signal ignored. */
    @Test
    void aCoordinatorThatCanNotBeReachedIsLookedForWhereItIsSaidToBe() throws Exception {
        try (ServerSocket next = Loopback.server(); Socket first = asked(coordinator, 1)) {
            say(first, OK + event(2, false, entry("a", "DRAINING", "std")));
            taken.take();
            told.set(address(next));
            coordinator.close();
            first.close();
            asked(next, 2).close();
        }
    }
}
