package cypressvalve.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.undertow.util.Methods;
import java.io.BufferedReader;
import java.io.InputStreamReader;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

class HttpCallerTest {
    private static final long SECOND = 1_000_000_000L;
    private final BlockingQueue<String> told = new LinkedBlockingQueue<>();
    private XnioWorker worker;
    private HttpCaller caller;

    @BeforeEach
    void start() throws Exception {
        worker = Xnio.getInstance().createWorker(OptionMap.builder().set(Options.WORKER_IO_THREADS, 1)
            .set(Options.THREAD_DAEMON, true).getMap());
        caller = new HttpCaller(worker.getIoThread(), 5 * SECOND, 4);
    }

    @AfterEach
    void stop() {
        worker.shutdownNow();
    }

    private HttpCaller.Call[] send(int port) throws InterruptedException {
        HttpCaller.Call[] call = new HttpCaller.Call[1];
        worker.getIoThread().execute(() -> call[0] = caller.send("http://127.0.0.1:" + port, Methods.DELETE, "/sessions/a",
            Map.of(), 20 * SECOND, () -> told.add("left"), (outcome, exchange) -> told.add("" + outcome)));
        return call;
    }

    private String next() throws InterruptedException {
        return told.poll(20, TimeUnit.SECONDS);
    }

    @Test
    void whatWaitsForARequestRunsOnceItIsOnItsWayAndBeforeItsAnswer() throws Exception {
        try (ServerSocket server = new ServerSocket(0)) {
            send(server.getLocalPort());
            try (Socket accepted = server.accept()) {
                assertEquals("left", next(), "with no answer yet");
                assertEquals("DELETE /sessions/a HTTP/1.1", new BufferedReader(new InputStreamReader(
                    accepted.getInputStream(), StandardCharsets.US_ASCII)).readLine());
                accepted.getOutputStream().write("HTTP/1.1 204 No Content\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
                assertEquals("ANSWERED", next());
            }
        }
        assertTrue(told.isEmpty());
    }

    @Test
    void itRunsOnceWhereNobodyListensToo() throws Exception {
        int port;
        try (ServerSocket server = new ServerSocket(0)) {
            port = server.getLocalPort();
        }
        send(port);
        assertEquals("left", next());
        assertEquals("NO_CONNECTION", next());
        assertTrue(told.isEmpty());
    }

    @Test
    void itRunsOnceWhereTheCallIsTakenBackBeforeAnAnswer() throws Exception {
        try (ServerSocket server = new ServerSocket(0)) {
            HttpCaller.Call[] call = send(server.getLocalPort());
            try (Socket accepted = server.accept()) {
                assertEquals("left", next());
                worker.getIoThread().execute(() -> call[0].takeBack());
                assertEquals("TAKEN_BACK", next());
                assertTrue(accepted.isConnected());
            }
        }
        assertTrue(told.isEmpty());
    }
}
