package cypressvalve.run;

import cypressvalve.config.PlatformSettings;
import cypressvalve.net.Loopback;
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
import org.junit.jupiter.api.io.TempDir;

/** A gateway whole on loopback: the test is viewer, media host and coordinator, with codecs of its own. */
abstract class NodeScene {
    final ServerSocket host = socket();
    /** Of the second media host: its system takes connections, and nothing is said there. */
    final ServerSocket secondHost = socket();
    final ServerSocket coordinator = socket();
    final ServerSocket next = socket();
    final LinkedBlockingQueue<String> log = new LinkedBlockingQueue<>();
    PlatformNode node;
    @TempDir
    Path dir;

    static ServerSocket socket() {
        try {
            return Loopback.server();
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    PlatformSettings settings(ServerSocket told) throws IOException {
        String text = Files.readString(Path.of("deploy/archive.json")).replace("127.0.0.1:1\"", "127.0.0.1:" + told.getLocalPort()
            + "\"").replaceAll("\"hostPort\": \"127.0.0.1:2\"", "\"hostPort\": \"127.0.0.1:" + host.getLocalPort() + "\"")
            .replaceAll("\"hostPort\": \"127.0.0.1:3\"", "\"hostPort\": \"127.0.0.1:" + secondHost.getLocalPort() + "\"")
            .replaceAll("\"aimNs\": [0-9]+", "\"aimNs\": 2800000000").replaceAll("\"coldNs\": [0-9]+", "\"coldNs\": 0");
        return PlatformSettings.read(Files.writeString(dir.resolve("config.json"), text), null);
    }

    static final String OK = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n";
    /** The gateway's first stream of the list, and what it asked for by it. */
    Socket stream;
    String streamAsked;

    /** A gateway is ready once the coordinator has answered, so that is done beside its start. */
    @BeforeEach
    void start() throws Exception {
        Thread answers = new Thread(() -> {
            try {
                stream = coordinator.accept();
                streamAsked = head(reader(stream));
                stream.getOutputStream().write(OK.getBytes(StandardCharsets.UTF_8));
            } catch (IOException e) {
                throw new java.io.UncheckedIOException(e);
            }
        });
        answers.start();
        node = new PlatformNode(settings(coordinator), () -> null, log::add, cause -> log.add("failed " + cause));
        node.start();
        answers.join();
    }

    @AfterEach
    void stop() throws IOException {
        node.kill();
        stream.close();
        host.close();
        secondHost.close();
        coordinator.close();
        next.close();
    }

    static byte[] message(int type, long id, String... parameters) {
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

    static byte[] setUp(long id, String plan, String figures) {
        return setUp(id, plan, figures, 900);
    }

    /** A set-up whose viewer waits so many milliseconds. */
    static byte[] setUpWithin(int patience, long id) {
        return setUp(id, "a", "home:0;copies:1;top:2", patience);
    }

    private static byte[] setUp(long id, String plan, String figures, int patience) {
        return message(1, id, "129", plan, "132", String.valueOf(patience), "135", "t", "141", "abc", "159", "9000", "144", figures, "174",
            "v=" + id + "\r\n");
    }

    Socket viewer() throws IOException {
        Socket socket = new Socket(InetAddress.getLoopbackAddress(), node.port());
        socket.setSoTimeout(10_000);
        socket.setTcpNoDelay(true);
        return socket;
    }

    /** The next message to a viewer: type, session, value of its one parameter without an end of line. */
    static String heard(Socket socket) throws IOException {
        DataInputStream in = new DataInputStream(socket.getInputStream());
        byte[] all = new byte[in.readUnsignedShort()];
        in.readFully(all);
        String value = all.length < 12 ? "" : all[9] == (byte) 171 ? String.valueOf(all[12])
            : new String(all, 12, all.length - 12, StandardCharsets.UTF_8).strip();
        return all[0] + " " + ByteBuffer.wrap(all, 1, 8).getLong() + " " + value;
    }

    /** @param text the description's line without its end; empty for no description */
    static void say(Socket socket, String head, String text) throws IOException {
        String body = text.isEmpty() ? "" : text + "\r\n";
        socket.getOutputStream().write((head + "\r\nContent-Length: " + body.length() + "\r\n\r\n" + body)
            .getBytes(StandardCharsets.UTF_8));
    }

    static String head(BufferedReader in) throws IOException {
        StringBuilder all = new StringBuilder();
        int body = 0;
        for (String line = in.readLine(); !line.isEmpty(); line = in.readLine()) {
            all.append(line).append('\n');
            body = line.startsWith("Content-Length: ") ? Integer.parseInt(line.substring(16)) : body;
        }
        in.skip(body);
        return all.toString();
    }

    static BufferedReader reader(Socket socket) throws IOException {
        return new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1));
    }

    /** Plays the host until it was asked for a set-up, which it answers; the line it came on. */
    Socket served(String session) throws IOException {
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
}
