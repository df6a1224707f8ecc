import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/** A connection from viewers: binary messages as the protocol's page has them. */
class Client implements AutoCloseable {
    static final int SET_UP = 1;
    static final int ANSWER = 9;
    static final int RELEASE = 12;
    static final int HEARD = 16;
    static final int MOVE = 51;
    static final int TEST = 52;
    static final int TESTED = 53;

    /** What is known of one session on this side. */
    static final class Seen {
        volatile long sentAt = -1;
        volatile long answeredAt = -1;
        volatile long refusedAt = -1;
        volatile int cause = -1;
        volatile long releasedAt = -1;
    }

    final Map<Long, Seen> sessions;
    private final Lab lab;
    private final String name;
    private final Socket socket;
    private final DataOutputStream out;
    private final Map<Long, CountDownLatch> tests = new ConcurrentHashMap<>();
    private volatile boolean passed;
    volatile boolean closed;

    Client(Lab lab, String name, int port) throws IOException {
        this(lab, name, port, new ConcurrentHashMap<>());
    }

    /** @param sessions shared by the connections of the same viewers, as what ends a session may be sent on any */
    Client(Lab lab, String name, int port, Map<Long, Seen> sessions) throws IOException {
        this.lab = lab;
        this.name = name;
        this.sessions = sessions;
        socket = new Socket(InetAddress.getByName("127.0.0.1"), port);
        socket.setTcpNoDelay(true);
        out = new DataOutputStream(socket.getOutputStream());
        Thread reader = new Thread(this::read, "client " + name);
        reader.setDaemon(true);
        reader.start();
    }

    static String hex(long id) {
        return String.format("%016x", id);
    }

    private void read() {
        try {
            DataInputStream in = new DataInputStream(socket.getInputStream());
            while (true) {
                int length = in.readUnsignedShort();
                int type = in.readUnsignedByte();
                long session = in.readLong();
                byte[] rest = new byte[length - 9];
                in.readFully(rest);
                int cause = type == RELEASE && rest.length >= 4 && (rest[0] & 0xff) == 171 ? rest[3] & 0xff : -1;
                take(type, session, cause, rest);
            }
        } catch (IOException e) {
            closed = true;
            tests.values().forEach(CountDownLatch::countDown);
        }
    }

    private void take(int type, long id, int cause, byte[] rest) throws IOException {
        if (type == TESTED) {
            passed |= rest.length >= 4 && rest[3] == 1;
            CountDownLatch latch = tests.remove(id);
            if (latch != null) {
                latch.countDown();
            }
            return;
        }
        if (type == HEARD) {
            return;
        }
        Seen seen = sessions.computeIfAbsent(id, k -> new Seen());
        if (type == ANSWER) {
            seen.answeredAt = lab.now();
            lab.note(name + " reads ANSWER " + hex(id));
        } else if (type == RELEASE || type == MOVE) {
            if (seen.answeredAt < 0) {
                seen.refusedAt = lab.now();
                seen.cause = cause;
            } else if (seen.releasedAt < 0) {
                seen.releasedAt = lab.now();
                seen.cause = cause;
            }
            lab.note(name + " reads " + (type == MOVE ? "MOVE " : "RELEASE cause " + cause + " ") + hex(id));
            send(HEARD, id, new byte[0]);
        }
    }

    void note(String what) {
        lab.note(name + " " + what);
    }

    static byte[] message(int type, long id, byte[] parameters) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        DataOutputStream message = new DataOutputStream(bytes);
        message.writeShort(9 + parameters.length);
        message.writeByte(type);
        message.writeLong(id);
        message.write(parameters);
        return bytes.toByteArray();
    }

    void send(int type, long id, byte[] parameters) throws IOException {
        sendAll(message(type, id, parameters));
    }

    /** Sends whole messages, as many as there are, at full speed. */
    synchronized void sendAll(byte[] messages) throws IOException {
        out.write(messages);
        out.flush();
    }

    static void parameter(DataOutputStream out, int code, byte[] value) throws IOException {
        out.writeByte(code);
        out.writeShort(value.length);
        out.write(value);
    }

    static void parameter(DataOutputStream out, int code, String value) throws IOException {
        parameter(out, code, value.getBytes(StandardCharsets.UTF_8));
    }

    /** The description of the protocol's example, with a line of the session's own. */
    static byte[] description(long id) {
        return (hex(id) + "\r\nc=IN IP4 127.0.0.1\r\nm=audio 31000 RTP/AVP 0 8 101\r\n").getBytes(StandardCharsets.UTF_8);
    }

    /** The same, with further attributes up to about that many bytes. */
    static byte[] description(long id, int bytes) {
        StringBuilder text = new StringBuilder(new String(description(id), StandardCharsets.UTF_8));
        for (int i = 0; text.length() + 40 < bytes; i++) {
            text.append("a=candidate:").append(1_000_000 + i).append(" 1 UDP 2130706431\r\n");
        }
        return text.toString().getBytes(StandardCharsets.UTF_8);
    }

    /** @param figures as in parameter 144 */
    static byte[] setUpParameters(String plan, String tenant, String title, int waitMs, String figures, byte[] description) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        DataOutputStream p = new DataOutputStream(bytes);
        parameter(p, 129, plan);
        parameter(p, 132, Integer.toString(waitMs));
        parameter(p, 135, tenant);
        parameter(p, 141, title);
        parameter(p, 159, "40000.0");
        parameter(p, 144, figures);
        if (description != null) {
            parameter(p, 174, description);
        }
        return bytes.toByteArray();
    }

    void setUp(long id, String plan, String tenant, String title, int waitMs, String figures, byte[] description) throws IOException {
        Seen seen = sessions.computeIfAbsent(id, k -> new Seen());
        lab.note(name + " sends SETUP " + hex(id) + " " + plan + " title " + title + " " + figures);
        send(SET_UP, id, setUpParameters(plan, tenant, title, waitMs, figures, description));
        seen.sentAt = lab.now();
    }

    /** Whether the gateway passes a test within a second. */
    boolean test(long id) throws IOException, InterruptedException {
        CountDownLatch latch = new CountDownLatch(1);
        tests.put(id, latch);
        send(TEST, id, new byte[] {(byte) 171, 0, 1, 0});
        latch.await(1, TimeUnit.SECONDS);
        if (closed) {
            throw new IOException("closed");
        }
        return passed;
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
