import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** One connection of sound viewers. What comes for any session is noted in a book that all viewers share. */
final class Viewer {
    /** What came towards viewers, by session; times in ms of the case. */
    static final class Book {
        final Map<Long, Double> answered = new ConcurrentHashMap<>();
        final Map<Long, String> answers = new ConcurrentHashMap<>();
        final Map<Long, Double> released = new ConcurrentHashMap<>();
        final Map<Long, Double> sent = new ConcurrentHashMap<>();
        final Map<Long, String> descriptions = new ConcurrentHashMap<>();
    }

    static final int SET_UP = 1;
    static final int ANSWER = 9;
    static final int RELEASE = 12;
    static final int RELEASE_HEARD = 16;
    static final int MOVE = 51;
    static final int TEST = 52;
    static final int TESTED = 53;

    private final Rig rig;
    private final Book book;
    private final String name;
    private final Socket socket;
    private final DataOutputStream out;
    volatile boolean open = true;
    volatile boolean passed;
    volatile double closedAt = Double.NaN;

    Viewer(Rig rig, Book book, String name, int port) throws IOException {
        this.rig = rig;
        this.book = book;
        this.name = name;
        socket = new Socket(Rig.LOCAL, port);
        socket.setTcpNoDelay(true);
        out = new DataOutputStream(socket.getOutputStream());
        Coordinator.thread(this::read);
    }

    /** Waits until a gateway has passed a test, 30 s at most, as the front does; returns the time that took in ms. */
    static double ready(Rig rig, int port) throws IOException {
        double since = Rig.ms();
        Book book = new Book();
        while (Rig.ms() - since < 30_000) {
            try {
                Viewer viewer = new Viewer(rig, book, "front", port);
                viewer.send(message(TEST, Rig.id(), cause(0)));
                for (int i = 0; i < 50 && viewer.open && !viewer.passed; i++) {
                    Rig.pause(10);
                }
                viewer.close();
                if (viewer.passed) {
                    rig.note("front", "the gateway has passed a test");
                    return Rig.ms() - since;
                }
            } catch (IOException e) {
                // It does not listen yet.
            }
            Rig.pause(100);
        }
        throw new IOException("the gateway was not ready in 30 s");
    }

    static byte[] cause(int cause) {
        return parameter(171, new byte[] {(byte) cause});
    }

    static byte[] parameter(int code, byte[] value) {
        byte[] all = new byte[3 + value.length];
        all[0] = (byte) code;
        all[1] = (byte) (value.length >> 8);
        all[2] = (byte) value.length;
        System.arraycopy(value, 0, all, 3, value.length);
        return all;
    }

    static byte[] parameter(int code, String value) {
        return parameter(code, value.getBytes(StandardCharsets.UTF_8));
    }

    static byte[] message(int type, long session, byte[]... parameters) {
        try {
            ByteArrayOutputStream bytes = new ByteArrayOutputStream();
            DataOutputStream data = new DataOutputStream(bytes);
            int length = 9;
            for (byte[] parameter : parameters) {
                length += parameter.length;
            }
            data.writeShort(length);
            data.writeByte(type);
            data.writeLong(session);
            for (byte[] parameter : parameters) {
                data.write(parameter);
            }
            return bytes.toByteArray();
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    static byte[] setUp(long session, String plan, String title, int home, int copies, int waitMs, String more) {
        return message(SET_UP, session, parameter(129, plan), parameter(132, Integer.toString(waitMs)), parameter(135, "banco-austral"),
            parameter(141, title), parameter(159, "30000.0"),
            parameter(144, "home:" + home + ";copies:" + copies + ";top:4;viewer:" + Rig.hex(session) + more), description(session));
    }

    static byte[] description(long session) {
        return parameter(174, Rig.hex(session ^ 0x5555_5555_5555_5555L) + "\r\nc=IN IP4 127.0.0.1\r\nm=audio 31000 RTP/AVP 0 8 101\r\n");
    }

    void send(byte[] message) throws IOException {
        synchronized (out) {
            out.write(message);
            out.flush();
        }
    }

    /** A set-up, noted as sent. */
    void ask(long session, byte[] message, String what) throws IOException {
        book.sent.put(session, Rig.ms());
        rig.note(name, "set-up " + Rig.hex(session) + " " + what);
        send(message);
    }

    void noteAsk(long session, String what) {
        book.sent.put(session, Rig.ms());
        rig.note(name, "set-up " + Rig.hex(session) + " " + what);
    }

    void close() {
        open = false;
        try {
            socket.close();
        } catch (IOException e) {
            // It is closed all the same.
        }
    }

    private void read() {
        try {
            DataInputStream in = new DataInputStream(socket.getInputStream());
            while (true) {
                int length = in.readUnsignedShort();
                int type = in.readUnsignedByte();
                long session = in.readLong();
                byte[] rest = in.readNBytes(length - 9);
                Map<Integer, byte[]> parameters = new HashMap<>();
                for (int at = 0; at + 3 <= rest.length; ) {
                    int size = (rest[at + 1] & 0xff) << 8 | rest[at + 2] & 0xff;
                    byte[] value = new byte[size];
                    System.arraycopy(rest, at + 3, value, 0, size);
                    parameters.put(rest[at] & 0xff, value);
                    at += 3 + size;
                }
                take(type, session, parameters);
            }
        } catch (IOException e) {
            if (open) {
                closedAt = Rig.ms();
                rig.note(name, "the gateway has ended this connection: " + e);
            }
            close();
        }
    }

    private void take(int type, long session, Map<Integer, byte[]> parameters) throws IOException {
        byte[] cause = parameters.get(171);
        String with = cause == null ? "" : " cause " + (cause[0] & 0xff);
        if (type == TESTED) {
            passed = cause != null && cause[0] == 1;
        } else if (type == ANSWER) {
            rig.note(name, "answer " + Rig.hex(session) + ": the session stands");
            book.answered.putIfAbsent(session, Rig.ms());
            book.descriptions.put(session, new String(parameters.getOrDefault(174, new byte[0]), StandardCharsets.ISO_8859_1));
            book.answers.merge(session, "served", (a, b) -> a + "," + b);
        } else if (type == RELEASE || type == MOVE) {
            boolean answer = book.sent.containsKey(session) && !book.answered.containsKey(session);
            rig.note(name, (type == MOVE ? "move " : "release ") + Rig.hex(session) + with + (answer ? ": its answer" : ""));
            if (answer) {
                book.answered.put(session, Rig.ms());
                book.answers.merge(session, "refused or failed" + with, (a, b) -> a + "," + b);
            } else {
                book.released.putIfAbsent(session, Rig.ms());
            }
            send(message(RELEASE_HEARD, session));
        }
    }
}
