package cypressvalve.soak;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

/**
 * A media host of the platform on loopback: takes set-ups over RTSP and records when each attempt begins and ends there.
 * Its faults are switched while it runs.
 */
public final class MediaHostEmulator implements AutoCloseable {
    private static final int BACKLOG = 200;
    private static final int SPOILT_FORMS = 6;
    private static final byte[] EMPTY = {};

    private final String name;
    private final EventRecord record;
    private final ServerSocket listener;
    private final Set<Socket> connections = ConcurrentHashMap.newKeySet();
    /** Set-ups that were taken and not ended, with the connection that each came on. */
    private final Map<String, Socket> open = new ConcurrentHashMap<>();
    private volatile AnswerMode mode = AnswerMode.NORMAL;
    private volatile long answerDelayMillis;
    private volatile long readDelayMillis;

    /** @param name the instance id that the list gives it */
    public MediaHostEmulator(String name, EventRecord record) throws IOException {
        this.name = name;
        this.record = record;
        listener = new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress());
        start(this::accept);
    }

    private void start(Runnable task) {
        Thread thread = new Thread(task, "media host " + name);
        thread.setDaemon(true);
        thread.start();
    }

    public String name() {
        return name;
    }

    /** Where it listens. */
    public InetSocketAddress address() {
        return (InetSocketAddress) listener.getLocalSocketAddress();
    }

    /** Whether set-ups are answered; where not, they are taken and nothing is said. */
    public void answersSetUps(boolean on) {
        mode = on ? AnswerMode.NORMAL : AnswerMode.SILENT;
    }

    /**
     * How set-ups are answered from now on.
     *
     * @param delayMillis how late, where they are answered late
     */
    public void answers(AnswerMode how, long delayMillis) {
        answerDelayMillis = delayMillis;
        mode = how;
    }

    /** How long what has come lies unread before it is taken, in milliseconds. */
    public void readDelay(long millis) {
        readDelayMillis = millis;
    }

    private void accept() {
        while (!listener.isClosed()) {
            try {
                Socket connection = listener.accept();
                connections.add(connection);
                start(() -> serve(connection));
            } catch (IOException e) {
                return; // Closed.
            }
        }
    }

    private void serve(Socket connection) {
        try (connection) {
            connection.setTcpNoDelay(true);
            LateInput late = new LateInput(connection.getInputStream(), record::now, () -> readDelayMillis);
            start(late);
            InputStream in = new BufferedInputStream(late);
            while (true) {
                RtspMessage message = RtspMessage.read(in);
                take(message, late.arrivedAt(), connection);
            }
        } catch (IOException | NumberFormatException e) {
            open.forEach((request, on) -> {
                if (on == connection) {
                    ended(request, "connection ended");
                }
            });
        } finally {
            connections.remove(connection);
        }
    }

    private void take(RtspMessage message, long arrivedAt, Socket connection) throws IOException {
        String session = message.session();
        switch (message.method()) {
            case "SETUP" -> setUp(session, arrivedAt, connection);
            case "TEARDOWN" -> ended(session, "cancelled");
            case "OPTIONS" -> write(connection, RtspMessage.response(200, "3", session, "X-Occupancy: x0:0.1\r\n", EMPTY));
            default -> { }
        }
    }

    private void setUp(String session, long arrivedAt, Socket connection) throws IOException {
        record.add(arrivedAt, Event.Kind.ATTEMPT_BEGUN, name, session, "");
        open.put(session, connection);
        switch (mode) {
            case NORMAL -> serve(session, connection, 1);
            case TWICE -> serve(session, connection, 2);
            case LATE -> start(() -> serveLate(session, connection));
            case SPOILT -> spoil(session, connection);
            case SILENT -> { }
        }
    }

    private String description(String session) {
        return "v=0 " + name + " " + session + "\r\n";
    }

    private void serve(String session, Socket connection, int copies) throws IOException {
        if (!open.remove(session, connection)) {
            return;
        }
        record.add(Event.Kind.ATTEMPT_SERVED, name, session, description(session));
        record.add(Event.Kind.ATTEMPT_ENDED, name, session, "served");
        byte[] answer = RtspMessage.response(200, "1", session, "", description(session).getBytes(StandardCharsets.ISO_8859_1));
        for (int i = 0; i < copies; i++) {
            write(connection, answer);
        }
    }

    private void serveLate(String session, Socket connection) {
        try {
            TimeUnit.MILLISECONDS.sleep(answerDelayMillis);
            serve(session, connection, 1);
        } catch (IOException e) {
            return; // The connection has ended, and the attempt with it.
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void spoil(String session, Socket connection) throws IOException {
        ended(session, "spoilt");
        String good = new String(RtspMessage.response(200, "1", session, "", description(session)
            .getBytes(StandardCharsets.ISO_8859_1)), StandardCharsets.ISO_8859_1);
        int length = description(session).length();
        String lengthField = "Content-Length: " + length;
        String spoilt = switch (Math.floorMod(session.hashCode(), SPOILT_FORMS)) {
            case 0 -> "\u0001\u0002noise\r\n";
            case 1 -> good.replace(lengthField, "Content-Length: " + (length - 1));
            case 2 -> good.replace(lengthField, "Content-Length: " + length / 2);
            case 3 -> good.replace(lengthField, "Content-Length: " + (length + good.length())) + good;
            case 4 -> good.replace(lengthField, "Content-Length: 3000000000");
            default -> good.substring(0, good.length() - length / 2);
        };
        write(connection, spoilt.getBytes(StandardCharsets.ISO_8859_1));
        if (spoilt.length() < good.length()) {
            connection.close();
        }
    }

    private boolean ended(String request, String why) {
        boolean was = open.remove(request) != null;
        if (was) {
            record.add(Event.Kind.ATTEMPT_ENDED, name, request, why);
        }
        return was;
    }

    /** Resets all connections, as a process that dies does; new ones are taken. */
    public void resetConnections() throws IOException {
        for (Socket connection : Set.copyOf(connections)) {
            connection.setSoLinger(true, 0);
            connection.close();
        }
    }

    /** Refuses all set-ups that are open, with an RTSP status. */
    public void refuseOpen(int status) throws IOException {
        for (Map.Entry<String, Socket> setUp : Map.copyOf(open).entrySet()) {
            if (ended(setUp.getKey(), "refused")) {
                write(setUp.getValue(), RtspMessage.response(status, "1", setUp.getKey(), "", EMPTY));
            }
        }
    }

    private static void write(Socket connection, byte[] message) throws IOException {
        connection.getOutputStream().write(message);
    }

    @Override
    public void close() throws IOException {
        listener.close();
        for (Socket connection : connections) {
            connection.close();
        }
    }
}
