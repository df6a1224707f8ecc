package cypressvalve.run;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cypressvalve.config.BadSettings;
import cypressvalve.config.PlatformSettings;
import java.io.BufferedReader;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.LinkedBlockingQueue;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** The platform's gateway whole, on loopback: the test is viewer, media host and coordinator, with codecs of its own. */
@Timeout(30)
class PlatformNodeTest {
    private final ServerSocket host = socket();
    private final ServerSocket coordinator = socket();
    private final ServerSocket next = socket();
    private final LinkedBlockingQueue<String> log = new LinkedBlockingQueue<>();
    private PlatformNode node;
    @TempDir
    private Path dir;

    private static ServerSocket socket() {
        try {
            return new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    private PlatformSettings settings(ServerSocket told) throws IOException {
        String text = Files.readString(Path.of("deploy/archive.json")).replace("127.0.0.1:1\"", "127.0.0.1:" + told.getLocalPort()
            + "\"").replaceAll("\"hostPort\": \"127.0.0.1:2\"", "\"hostPort\": \"127.0.0.1:" + host.getLocalPort() + "\"")
            .replaceAll("\"coldNs\": [0-9]+", "\"coldNs\": 0");
        return PlatformSettings.read(Files.writeString(dir.resolve("config.json"), text), null);
    }

    @BeforeEach
    void start() throws IOException {
        node = new PlatformNode(settings(coordinator), log::add, cause -> log.add("failed " + cause));
        node.start();
    }

    @AfterEach
    void stop() throws IOException {
        node.kill();
        host.close();
        coordinator.close();
        next.close();
    }

    private static byte[] message(int type, long id, String... parameters) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        for (int i = 0; i < parameters.length; i += 2) {
            out.write(Integer.parseInt(parameters[i]));
            out.write(0);
            out.write(parameters[i + 1].length());
            out.writeBytes(parameters[i + 1].getBytes(StandardCharsets.UTF_8));
        }
        return ByteBuffer.allocate(11 + out.size()).putShort((short) (9 + out.size())).put((byte) type).putLong(id)
            .put(out.toByteArray()).array();
    }

    private static byte[] setUp(long id, String plan, String figures) {
        return message(1, id, "129", plan, "132", "900", "135", "t", "141", "abc", "159", "9000", "144", figures, "174",
            "v=" + id);
    }

    private Socket viewer() throws IOException {
        Socket socket = new Socket(InetAddress.getLoopbackAddress(), node.port());
        socket.setSoTimeout(10_000);
        return socket;
    }

    /** The next message to a viewer: type, session, value of its one parameter. */
    private static String heard(Socket socket) throws IOException {
        DataInputStream in = new DataInputStream(socket.getInputStream());
        byte[] all = new byte[in.readUnsignedShort()];
        in.readFully(all);
        String value = all.length < 12 ? "" : all[9] == (byte) 171 ? String.valueOf(all[12])
            : new String(all, 12, all.length - 12, StandardCharsets.UTF_8);
        return all[0] + " " + ByteBuffer.wrap(all, 1, 8).getLong() + " " + value;
    }

    private static void say(Socket socket, String head, String body) throws IOException {
        socket.getOutputStream().write((head + "\r\nContent-Length: " + body.length() + "\r\n\r\n" + body)
            .getBytes(StandardCharsets.UTF_8));
    }

    private static String head(BufferedReader in) throws IOException {
        StringBuilder all = new StringBuilder();
        int body = 0;
        for (String line = in.readLine(); !line.isEmpty(); line = in.readLine()) {
            all.append(line).append('\n');
            body = line.startsWith("Content-Length: ") ? Integer.parseInt(line.substring(16)) : body;
        }
        in.skip(body);
        return all.toString();
    }

    private static BufferedReader reader(Socket socket) throws IOException {
        return new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1));
    }

    /** Plays the host until it was asked for a set-up, which it answers; the line it came on. */
    private Socket served(String session) throws IOException {
        Socket line = host.accept();
        BufferedReader in = reader(line);
        for (String asked = head(in); ; asked = head(in)) {
            if (asked.startsWith("OPTIONS")) {
                String id = asked.replaceAll("(?s).*Session: ([0-9a-f]*).*", "$1");
                say(line, "RTSP/1.0 200 OK\r\nCSeq: 3\r\nSession: " + id + "\r\nX-Occupancy: x0:0.1", "");
            } else if (asked.startsWith("SETUP rtsp://media/abc") && asked.contains("Session: " + session)) {
                say(line, "RTSP/1.0 200 OK\r\nCSeq: 1\r\nSession: " + session, "host's");
                return line;
            }
        }
    }

    @Test
    void aViewerIsTestedServedByAHostAndToldWhenItIsCut() throws Exception {
        try (Socket viewer = viewer()) {
            viewer.getOutputStream().write(message(52, 7));
            assertEquals("53 7 1", heard(viewer));
            viewer.getOutputStream().write(setUp(8, "a", "home:0;copies:1;top:2"));
            Socket line = served("0000000000000008");
            assertEquals("9 8 host's", heard(viewer));
            say(line, "TEARDOWN rtsp://media/s RTSP/1.0\r\nCSeq: 2\r\nSession: 0000000000000008\r\nReason: cause=41", "");
            assertEquals("12 8 41", heard(viewer));
        }
    }

    /** Its viewer's connection has gone: the end goes out on another, as soon as there is one. */
    @Test
    void anEndIsToldOnAnotherConnection() throws Exception {
        Socket first = viewer();
        first.getOutputStream().write(setUp(8, "a", "home:0;copies:1;top:2;at:h-1"));
        first.getOutputStream().write(message(52, 7));
        assertEquals("53 7 1", heard(first), "a hand-over wants no answer");
        Socket line = host.accept();
        first.close();
        say(line, "TEARDOWN rtsp://media/s RTSP/1.0\r\nCSeq: 2\r\nSession: 0000000000000008\r\nReason: cause=16", "");
        head(reader(line));
        try (Socket second = viewer()) {
            second.getOutputStream().write(setUp(9, "a", "home:0;copies:1;top:2"));
            assertEquals("12 8 16", heard(second));
        }
    }

    @Test
    void badClientsAreRefusedOrClosedAndOthersServed() throws Exception {
        try (Socket silent = viewer(); Socket noise = viewer(); Socket again = viewer(); Socket unknown = viewer()) {
            unknown.getOutputStream().write(setUp(8, "nobody's", "home:0;copies:1;top:2"));
            assertEquals("12 8 100", heard(unknown));
            noise.getOutputStream().write(new byte[] {0, 1, 2, 3});
            assertEquals(-1, noise.getInputStream().read());
            again.getOutputStream().write(setUp(9, "a", "home:0;copies:1;top:2"));
            again.getOutputStream().write(setUp(9, "a", "home:1;copies:1;top:2"));
            assertEquals(-1, again.getInputStream().read(), "an id is used once");
            assertEquals(-1, silent.getInputStream().read(), "who says nothing is closed");
        }
    }

    @Test
    void theListIsReadOnOverABreakAndAtAnotherAddress() throws Exception {
        String event = "id: 2\ndata: {\"index\":2,\"endpoints\":{\"generation\":2,\"reset\":false,\"instances\":[{\"instanceId\":"
            + "\"h-1\",\"hostPort\":\"127.0.0.1:2\",\"zone\":\"z\",\"machineType\":\"std\",\"cell\":0,\"lifecycle\":\"DELETED\","
            + "\"weight\":1,\"startedAtMs\":0}]}}\n\n";
        String ok = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n";
        try (Socket broken = coordinator.accept()) {
            assertTrue(head(reader(broken)).contains("Last-Event-ID: 1\n"));
            broken.getOutputStream().write((ok + event.substring(0, 60)).getBytes(StandardCharsets.UTF_8));
        }
        try (Socket whole = coordinator.accept(); Socket viewer = viewer()) {
            assertTrue(head(reader(whole)).contains("Last-Event-ID: 1\n"), "what was cut is asked for again");
            whole.getOutputStream().write((ok + event + event).getBytes(StandardCharsets.UTF_8));
            node.reload(settings(next));
            Socket moved = next.accept();
            String asked = head(reader(moved));
            assertTrue(asked.contains("Last-Event-ID: "), asked);
            moved.getOutputStream().write((ok + event).getBytes(StandardCharsets.UTF_8));
            assertEquals(-1, whole.getInputStream().read(), "the old stream is left");
            String answer;
            long id = 10;
            do { // The event is on its way: the only holder is gone once it has come.
                viewer.getOutputStream().write(setUp(++id, "a", "home:0;copies:1;top:2;at:h-1"));
                viewer.getOutputStream().write(message(52, 7));
                answer = heard(viewer);
            } while (answer.startsWith("53"));
            assertEquals("12 " + id + " 41", answer);
        }
    }

    @Test
    void aConfigurationThatCanNotBeReadNamesItsField() throws IOException {
        Path file = dir.resolve("bad.json");
        Files.writeString(file, Files.readString(Path.of("deploy/archive.json")).replace("\"sockets\": 256", "\"sockets\": 0"));
        assertEquals(file + ": limits.sockets: expected a number over 0",
            assertThrows(BadSettings.class, () -> PlatformSettings.read(file, null)).getMessage());
    }
}
