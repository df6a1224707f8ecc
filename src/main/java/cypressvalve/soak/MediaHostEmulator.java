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

/**
 * A media host of the platform on loopback: takes set-ups over RTSP and records when each attempt begins and ends there.
 * Its faults are switched while it runs.
 */
public final class MediaHostEmulator implements AutoCloseable {
    private static final int BACKLOG = 200;
    private static final byte[] EMPTY = {};

    private final String name;
    private final EventRecord record;
    private final ServerSocket listener;
    private final Set<Socket> connections = ConcurrentHashMap.newKeySet();
    /** Set-ups that were taken and not ended, with the connection that each came on. */
    private final Map<String, Socket> open = new ConcurrentHashMap<>();
    private volatile boolean answersSetUps = true;
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
        answersSetUps = on;
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
        if (answersSetUps) {
            record.add(Event.Kind.ATTEMPT_SERVED, name, session, "");
            record.add(Event.Kind.ATTEMPT_ENDED, name, session, "served");
            write(connection, RtspMessage.response(200, "1", session, "",
                ("v=0 " + name + " " + session).getBytes(StandardCharsets.ISO_8859_1)));
        } else {
            open.put(session, connection);
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
