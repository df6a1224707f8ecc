package cypressvalve.host.rtsp;

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
import cypressvalve.net.PollCycles;
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
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

/** The way to a media host on loopback; the host is the test itself, which reads and writes lines. */
abstract class RtspScene {
    static final String RELEASE = "TEARDOWN rtsp://media/session RTSP/1.0";
    static final HostLimits LIMITS = new HostLimits(2_000_000_000L, 2_000_000_000L, 0, 2);
    static final int MOST_LINES = 3;
    final ServerSocket server = Loopback.server();
    final XnioWorker worker = Xnio.getInstance().createWorker(OptionMap.create(Options.WORKER_IO_THREADS, 1));
    final PollCycles polls = new PollCycles(worker.getIoThread());
    final LinkedBlockingQueue<String> told = new LinkedBlockingQueue<>();
    final HostAddress host = new HostAddress(7, "127.0.0.1", server.getLocalPort());
    final RtspHostClient client = client(false);
    RtspHostClient used = client;

    RtspHostClient client(boolean mayTest) {
        return new RtspHostClient(polls, LIMITS, 60_000_000_000L, 8, MOST_LINES, ByteBuffer.allocate(4096),
            mayTest, AttemptGuard.NONE, notes(), new EventLog(64));
    }

    HostClient.Notes notes() {
        return new HostClient.Notes() {
            @Override
            public void delivered(long id, String session, double share) {
                told.add("delivered " + session + " " + share);
            }

            @Override
            public void load(long id, String session, LoadReport report) {
                told.add("load " + report.link());
            }

            @Override
            public HostClient.EndEffect ended(long id, String session, Verdict verdict) {
                told.add("ended " + session + " " + verdict);
                return HostClient.EndEffect.ENDED;
            }

            @Override
            public void carried(long id, Set<String> sessions, long askedAt) { }

            @Override
            public void lost(long id) {
                told.add("lost " + id);
            }
        };
    }

    RtspScene() throws IOException { }

    @AfterEach
    void stop() throws Exception {
        onLoop(client::close);
        onLoop(used::close);
        polls.close();
        worker.shutdownNow();
        server.close();
    }

    void onLoop(Runnable task) throws InterruptedException {
        LinkedBlockingQueue<String> done = new LinkedBlockingQueue<>();
        worker.getIoThread().execute(() -> {
            task.run();
            done.add("");
        });
        done.take();
    }

    HostClient.Call setUp(String id) {
        return setUp(id, 5_000_000_000L);
    }

    HostClient.Call setUp(String id, long maxWait) {
        return setUp(id, maxWait, "v=0\r\n");
    }

    HostClient.Call setUp(String id, long maxWait, String offer) {
        return used.setUp(host, new SetUpOrder(id, 0, "t", "paid", 2, maxWait, "", offer.getBytes(
            StandardCharsets.UTF_8)), new HostClient.SetUpResult() {
                @Override
                public void started(LoadReport report) { }

                @Override
                public void started(LoadReport report, byte[] description) {
                    told.add("started " + id + " " + new String(description, StandardCharsets.UTF_8).strip());
                }

                @Override
                public void givenUp(Verdict verdict) {
                    if (used != client) {
                        told.add("given up " + id + " " + verdict);
                    }
                }

                @Override
                public void cameBack(Verdict verdict, LoadReport report) {
                    told.add("back " + id + " " + verdict);
                }
            });
    }

    /** Returns once the client has read the end of all its connections. */
    void awaitNoConnection() throws InterruptedException {
        int[] held = {1};
        while (held[0] > 0) {
            onLoop(() -> held[0] = used.connections());
        }
    }

    static String message(BufferedReader in) throws IOException {
        StringBuilder head = new StringBuilder();
        int body = 0;
        for (String line = in.readLine(); !line.isEmpty(); line = in.readLine()) {
            head.append(line).append('\n');
            body = line.startsWith("Content-Length: ") ? Integer.parseInt(line.substring(16)) : body;
        }
        for (int i = 0; i < body; i++) {
            in.read();
        }
        return head.toString();
    }

    /** @param text the description's line without its end; empty for no description */
    static void say(Socket socket, String head, String text) throws IOException {
        String body = text.isEmpty() ? "" : text + "\r\n";
        socket.getOutputStream().write((head + "\r\nContent-Length: " + body.length() + "\r\n\r\n" + body)
            .getBytes(StandardCharsets.UTF_8));
    }

    static BufferedReader reader(Socket socket) throws IOException {
        return new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1));
    }

    static void answerTest(Socket line, BufferedReader in) throws IOException {
        String test = message(in);
        assertTrue(test.startsWith("OPTIONS"), test);
        say(line, "RTSP/1.0 200 OK\r\nCSeq: 3\r\n" + test.lines().filter(field -> field.startsWith("Session: "))
            .findFirst().orElseThrow(), "");
    }
}
