package cypressvalve.rehearsal;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cypressvalve.config.GatewaySettings;
import cypressvalve.host.HostLimits;
import cypressvalve.run.GatewayNode;
import cypressvalve.session.Clock;
import cypressvalve.session.Session;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** What no player would send: a clear 4xx or a closed connection, and other viewers unharmed. */
class HostileInputTest {
    private Scene scene;

    @BeforeEach
    void open() throws Exception {
        scene = Scene.of(1, 2);
    }

    @AfterEach
    void othersAreUnharmed() throws Exception {
        assertEquals(200, scene.watch("honest", 0, "plain").status());
        scene.close();
    }

    private Socket connect() throws IOException {
        URI uri = URI.create(scene.stage.gatewayUri(0));
        Socket socket = new Socket(uri.getHost(), uri.getPort());
        socket.setSoTimeout(20_000);
        return socket;
    }

    private static void send(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
        socket.getOutputStream().flush();
    }

    /** Everything until the server closes, or that many answers' heads have come. */
    private static String read(Socket socket, int answers) throws IOException {
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        InputStream in = socket.getInputStream();
        byte[] buffer = new byte[8192];
        while (true) {
            int n;
            try {
                n = in.read(buffer);
            } catch (SocketTimeoutException e) {
                throw new AssertionError("neither answer nor close after: " + all, e);
            } catch (IOException e) {
                return all.toString(StandardCharsets.ISO_8859_1); // Reset: closed all the same.
            }
            if (n < 0) {
                return all.toString(StandardCharsets.ISO_8859_1);
            }
            all.write(buffer, 0, n);
            String text = all.toString(StandardCharsets.ISO_8859_1);
            if (text.split("HTTP/1\\.1 ", -1).length - 1 >= answers && text.endsWith("}")) {
                return text;
            }
        }
    }

    private long setUps() {
        return scene.all("host", "setup").size();
    }

    @ParameterizedTest
    @ValueSource(strings = {
        "GET /play/r0/main.m3u8?plan=none HTTP/1.1\r\nHost: x\r\n\r\n",
        "GET /play/r0/main.m3u8 HTTP/1.1\r\nHost: x\r\n\r\n",
        "GET /play/r0/main.m3u8?plan=plain&screen=%zz HTTP/1.1\r\nHost: x\r\n\r\n",
        "GET /play/r0/main.m3u8?plan=plain&hint=-5 HTTP/1.1\r\nHost: x\r\n\r\n",
        "GET /play/r0/main.m3u8?plan=pl%00ain HTTP/1.1\r\nHost: x\r\n\r\n",
        "GET /play/nothing/main.m3u8?plan=plain HTTP/1.1\r\nHost: x\r\n\r\n",
        "GET /play/..%2f..%2fr0/main.m3u8?plan=plain HTTP/1.1\r\nHost: x\r\n\r\n",
        "GET /s/r0/g0-0/zz/AAAA/media.m3u8 HTTP/1.1\r\nHost: x\r\n\r\n",
        "GET /s/r0/g7-0/zz/AAAA/0.ts HTTP/1.1\r\nHost: x\r\n\r\n",
        "DELETE /play/r0/main.m3u8?plan=plain HTTP/1.1\r\nHost: x\r\n\r\n",
        "POST /play/r0/main.m3u8?plan=plain HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nabc",
        "GET / HTTP/1.1\r\nHost: x\r\n\r\n"})
    void whatIsWrongGetsAFourHundredAndNoDecision(String request) throws Exception {
        try (Socket socket = connect()) {
            send(socket, request);
            String answer = read(socket, 1);
            assertTrue(answer.isEmpty() || answer.startsWith("HTTP/1.1 4"), answer);
            assertEquals(0, setUps());
        }
    }

    @Test
    void oversizedHeadsAreCutOff() throws Exception {
        for (String request : List.of("GET /play/r0/main.m3u8?plan=plain HTTP/1.1\r\nHost: x\r\nX: "
                + "y".repeat(100_000) + "\r\n\r\n", "GET /" + "a".repeat(200_000) + " HTTP/1.1\r\nHost: x\r\n\r\n",
            "GET /play/r0/main.m3u8?plan=plain HTTP/1.1\r\nHost: x\r\n" + "A: b\r\n".repeat(1000) + "\r\n",
            "GET /play/r0/main.m3u8?" + "a=b&".repeat(1000) + "plan=plain HTTP/1.1\r\nHost: x\r\n\r\n")) {
            try (Socket socket = connect()) {
                try {
                    send(socket, request);
                } catch (IOException e) {
                    continue; // Cut off while it still sent.
                }
                String answer = read(socket, 1);
                assertTrue(answer.isEmpty() || answer.startsWith("HTTP/1.1 4"), answer);
            }
        }
        assertEquals(0, setUps());
    }

    @ParameterizedTest
    @ValueSource(strings = {"\u0000\u0001\u0002\u0003\r\n\r\n", "GET\r\n\r\n", "\u0016\u0003\u0001\u0002\u0000\u0001\r\n\r\n",
        "GET /play/r0/main.m3u8?plan=plain HTTP/9.9\r\nHost: x\r\n\r\n", "GET \u00ff\u00fe HTTP/1.1\r\nHost: x\r\n\r\n"})
    void whatIsNoHttpIsClosedOrRefused(String bytes) throws Exception {
        try (Socket socket = connect()) {
            send(socket, bytes);
            String answer = read(socket, 1);
            assertTrue(answer.isEmpty() || answer.startsWith("HTTP/1.1 4") || answer.startsWith("HTTP/1.1 5"), answer);
            assertEquals(0, setUps());
        }
    }

    @Test
    void pipelinedAndDuplicatedRequestsGetOneAnswerEachInOrder() throws Exception {
        String ask = "GET /play/r0/main.m3u8?plan=few HTTP/1.1\r\nHost: x\r\nCMCD-Session: sid=\"twin\"\r\n\r\n";
        String odd = "GET /play/none/main.m3u8?plan=few HTTP/1.1\r\nHost: x\r\n\r\n";
        try (Socket socket = connect()) {
            send(socket, ask + ask + odd);
            String answers = read(socket, 3);
            List<String> statuses = new ArrayList<>();
            for (String part : answers.split("HTTP/1\\.1 ")) {
                if (part.length() > 3) {
                    statuses.add(part.substring(0, 3));
                }
            }
            assertEquals(List.of("200", "200", "404"), statuses);
            assertEquals(1, setUps());
        }
    }

    @Test
    void halfOpenAndSlowSendersHoldNothing() throws Exception {
        List<Socket> slow = new ArrayList<>();
        for (int i = 0; i < 300; i++) {
            Socket socket = connect();
            send(socket, i % 2 == 0 ? "GET /play/r0/main.m3u8?plan=pl" : "");
            slow.add(socket);
        }
        assertEquals(200, scene.watch("between", 0, "plain").status());
        assertEquals(0, scene.onLoop(0, () -> scene.stage.gateway(0).core().held(Session.State.OPENING)));
        assertEquals(1, setUps());
        for (Socket socket : slow) {
            socket.close();
        }
    }

    @Test
    void connectionsBeyondTheBoundWaitUntilOthersClose() throws Exception {
        GatewaySettings.Limits d = GatewaySettings.Limits.DEFAULT;
        GatewayNode node = new GatewayNode(new GatewaySettings(0, 1, "", "127.0.0.1", 0, 1,
            URI.create(scene.stage.list().uri()), null, null, false, 0, 1_000_000_000_000L, new GatewaySettings.Limits(
                d.sessions(), 5, d.headerBytes(), d.headers(), d.parameters(), d.requestTimeout(), d.idleTimeout(), d.admission()),
            HostLimits.DEFAULT, scene.stage.day().service(), null), Clock.anchored(), cause -> { });
        node.start();
        List<Socket> sockets = new ArrayList<>();
        try {
            for (int i = 0; i < 5; i++) {
                sockets.add(new Socket("127.0.0.1", node.port()));
                send(sockets.get(i), "GET / HTTP/1.1\r\nHost: x\r\n\r\n");
                sockets.get(i).setSoTimeout(20_000);
                assertTrue(read(sockets.get(i), 1).startsWith("HTTP/1.1 404"));
            }
            Socket sixth = new Socket("127.0.0.1", node.port());
            sockets.add(sixth);
            send(sixth, "GET / HTTP/1.1\r\nHost: x\r\n\r\n");
            sixth.setSoTimeout(200);
            assertThrows(SocketTimeoutException.class, () -> sixth.getInputStream().read());
            sockets.get(0).close();
            sixth.setSoTimeout(20_000);
            assertTrue(read(sixth, 1).startsWith("HTTP/1.1 404"));
        } finally {
            for (Socket socket : sockets) {
                socket.close();
            }
            node.kill();
        }
    }

    @Test
    void aViewerWhoClosesWhilePipeliningIsStillAnsweredForThere() throws Exception {
        scene.host(0).faults().hang = true;
        scene.host(1).faults().hang = true;
        String ask = "GET /play/r0/main.m3u8?plan=plain HTTP/1.1\r\nHost: x\r\nPrefer: wait=1\r\n\r\n";
        Socket socket = connect();
        send(socket, ask);
        scene.await("host", "setup", r -> true);
        send(socket, ask);
        socket.close();
        scene.host(0).faults().hang = false;
        scene.host(1).faults().hang = false;
        scene.awaitPlaying(0, 0);
        assertFalse(scene.onLoop(0, () -> !scene.stage.gateway(0).core().healthy()));
    }
}
