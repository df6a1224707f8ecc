package cypressvalve.soak;

import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

/**
 * One client connection of the platform: writes set-ups as binary messages and records what comes back. Its codec is
 * its own and shared with no code of the gateway.
 */
public final class ClientEmulator implements AutoCloseable {
    private static final int SET_UP = 1;
    private static final int ANSWER = 9;
    private static final int PROGRESS = 6;
    private static final int RELEASE = 12;
    private static final int RELEASE_HEARD = 16;
    private static final int NOTE = 44;
    private static final int MOVE = 51;
    private static final int TEST = 52;
    private static final int TESTED = 53;
    private static final int RUNG = 60;
    private static final Set<Integer> OTHER_TYPES = Set.of(PROGRESS, RELEASE_HEARD, NOTE, MOVE, RUNG);
    private static final int MAX_LENGTH = 16 * 1024;
    private static final int CLASS = 129;
    private static final int PATIENCE = 132;
    private static final int TENANT = 135;
    private static final int TITLE = 141;
    private static final int FIGURES = 144;
    private static final int HINT = 159;
    private static final int CAUSE = 171;
    private static final int DESCRIPTION = 174;
    /** Q.850: normal clearing, which cancels a set-up that is open. */
    private static final int NORMAL = 16;
    private static final int HEAD_BYTES = 9;
    /** Of a request that is given up as its client leaves the connection. */
    static final String LEFT = "left";
    private static final int CONNECT_MILLIS = 2_000;

    /**
     * A set-up as a client words it.
     *
     * @param id not used by any other request
     * @param patienceMillis how long the client waits for the answer
     * @param copies how many media hosts hold the title, counted from the first
     */
    public record SetUp(long id, String plan, String tenant, String title, int patienceMillis, int copies) { }

    private final String name;
    private final String gateway;
    private final EventRecord record;
    private final Socket socket;
    private final DataOutputStream out;
    /** Requests sent on this connection that wait for their answer; a release of any other is that of a session. */
    private final Set<Long> unanswered = ConcurrentHashMap.newKeySet();
    private int pieceBytes = Integer.MAX_VALUE / 2;
    private long piecePauseMillis;
    private volatile boolean closing;
    private volatile boolean ended;
    private volatile int refusals;
    private volatile boolean passedTest;
    private volatile DescriptionForm descriptions = DescriptionForm.PAGE;

    /**
     * Connects; throws where the gateway does not accept.
     *
     * @param gateway the process's name in the record
     */
    public ClientEmulator(String name, String gateway, InetSocketAddress address, EventRecord record) throws IOException {
        this.name = name;
        this.gateway = gateway;
        this.record = record;
        socket = new Socket();
        socket.setTcpNoDelay(true);
        socket.connect(address, CONNECT_MILLIS);
        out = new DataOutputStream(socket.getOutputStream());
        record.add(Event.Kind.CLIENT_CONNECTED, name, "", gateway);
        Thread reader = new Thread(this::read, "client " + name);
        reader.setDaemon(true);
        reader.start();
    }

    /** Writes a set-up; throws where the connection has ended. */
    public void send(SetUp request) throws IOException {
        unanswered.add(request.id());
        record.add(Event.Kind.REQUEST_OFFERED, name, id(request.id()), offer(request.plan(), request.title(),
            description(request)));
        write(SET_UP, request.id(), parameters(request, ""));
        record.add(Event.Kind.REQUEST_SENT, name, id(request.id()), request.patienceMillis()
            + (request.plan().equals(TrialConfig.ONCE) ? RecordChecker.ONCE : ""));
    }

    /** Hands over a session that stands already at that media host; it wants no answer. */
    void handOver(SetUp session, String host) throws IOException {
        write(SET_UP, session.id(), parameters(session, ";at:" + host));
        record.add(Event.Kind.SESSION_HANDED_OVER, name, id(session.id()), gateway);
    }

    /** Tests the gateway. */
    void test(long id) throws IOException {
        write(TEST, id, new byte[] {(byte) CAUSE, 0, 1, 0});
    }

    /** Whether a test was passed. */
    boolean passedTest() {
        return passedTest;
    }

    /** What a set-up says, in one line. */
    static String offer(String plan, String title, String description) {
        return plan + " " + title + " " + description.strip();
    }

    /** How its offers describe sessions from now on. */
    public void describesAs(DescriptionForm form) {
        descriptions = form;
    }

    private String description(SetUp request) {
        return descriptions.offer(id(request.id()));
    }

    private byte[] parameters(SetUp request, String more) {
        return parameters(request, more, description(request));
    }

    /** The whole message of a set-up. */
    static byte[] message(SetUp request) {
        return message(SET_UP, request.id(), parameters(request, "", DescriptionForm.PAGE.offer(id(request.id()))));
    }

    static byte[] parameters(SetUp request, String more, String description) {
        ByteArrayOutputStream parameters = new ByteArrayOutputStream();
        parameter(parameters, CLASS, request.plan());
        parameter(parameters, PATIENCE, String.valueOf(request.patienceMillis()));
        parameter(parameters, TENANT, request.tenant());
        parameter(parameters, TITLE, request.title());
        parameter(parameters, HINT, "8000.0");
        parameter(parameters, FIGURES, "home:0;copies:" + request.copies() + ";top:4;viewer:" + id(request.id()) + more);
        parameter(parameters, DESCRIPTION, description);
        return parameters.toByteArray();
    }

    /** Cancels a request that is open. */
    public void cancel(long id) throws IOException {
        write(RELEASE, id, new byte[] {(byte) CAUSE, 0, 1, NORMAL});
        record.add(Event.Kind.REQUEST_CANCELLED, name, id(id), "");
    }

    private static void parameter(ByteArrayOutputStream to, int code, String value) {
        byte[] bytes = value.getBytes(StandardCharsets.UTF_8);
        to.write(code);
        to.write(bytes.length >> 8);
        to.write(bytes.length);
        to.writeBytes(bytes);
    }

    /** Ends the connection; requests that are open count as cancelled. */
    public void leave(Iterable<Long> open) throws IOException {
        open.forEach(id -> record.add(Event.Kind.REQUEST_CANCELLED, name, id(id), LEFT));
        close();
    }

    /** How many bytes are written at a time from now on, with a pause between. */
    public void writeInPieces(int bytes, long pauseMillis) {
        pieceBytes = bytes;
        piecePauseMillis = pauseMillis;
    }

    private synchronized void write(int type, long id, byte[] parameters) throws IOException {
        writePieces(message(type, id, parameters));
    }

    /** A message of that type. */
    static byte[] message(int type, long id, byte[] parameters) {
        return ByteBuffer.allocate(2 + HEAD_BYTES + parameters.length).putShort((short) (HEAD_BYTES + parameters.length))
            .put((byte) type).putLong(id).put(parameters).array();
    }

    /** Writes bytes that are no message of this client, as they are. */
    synchronized void writeRaw(byte[] bytes) throws IOException {
        out.write(bytes);
    }

    private void writePieces(byte[] message) throws IOException {
        for (int from = 0; from < message.length; from += pieceBytes) {
            out.write(message, from, Math.min(pieceBytes, message.length - from));
            if (from + pieceBytes < message.length && piecePauseMillis > 0) {
                try {
                    TimeUnit.MILLISECONDS.sleep(piecePauseMillis);
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            }
        }
    }

    static String id(long id) {
        return String.format("%016x", id);
    }

    private void read() {
        try {
            DataInputStream in = new DataInputStream(new java.io.BufferedInputStream(socket.getInputStream()));
            while (true) {
                int length = in.readUnsignedShort();
                if (length < HEAD_BYTES || length > MAX_LENGTH) {
                    record.add(Event.Kind.ANSWER_UNREADABLE, name, "", "length " + length);
                }
                byte[] message = new byte[length];
                in.readFully(message);
                take(new DataInputStream(new java.io.ByteArrayInputStream(message)));
            }
        } catch (IOException e) {
            ended = true;
            if (!closing) {
                record.add(Event.Kind.CONNECTION_ENDED, name, "", gateway);
            }
        }
    }

    private void take(DataInputStream message) throws IOException {
        int type = message.readUnsignedByte();
        long id = message.readLong();
        int code = message.available() > 0 ? message.readUnsignedByte() : -1;
        byte[] value = code < 0 ? new byte[0] : message.readNBytes(message.readUnsignedShort());
        if (type == TESTED) {
            passedTest |= value.length == 1 && value[0] == 1;
        } else if (type != ANSWER && type != RELEASE && !OTHER_TYPES.contains(type)) {
            record.add(Event.Kind.ANSWER_UNREADABLE, name, id(id), "type " + type);
        } else if (type == ANSWER) {
            unanswered.remove(id);
            record.add(Event.Kind.ANSWER_SERVED, name, id(id), new String(value, StandardCharsets.UTF_8));
        } else if (type == RELEASE) {
            Event.Kind kind = unanswered.remove(id) ? Event.Kind.ANSWER_REFUSED : Event.Kind.RELEASE_READ;
            refusals += kind == Event.Kind.ANSWER_REFUSED ? 1 : 0;
            record.add(kind, name, id(id), code == CAUSE && value.length == 1 ? String.valueOf(value[0]) : "");
        }
    }

    /** Requests that were refused on this connection so far. */
    public int refusals() {
        return refusals;
    }

    /** Whether the gateway has ended the connection, as far as this side has read. */
    public boolean ended() {
        return ended;
    }

    @Override
    public void close() throws IOException {
        if (!closing) {
            record.add(Event.Kind.CLIENT_LEFT, name, "", gateway);
        }
        closing = true;
        socket.close();
    }
}
