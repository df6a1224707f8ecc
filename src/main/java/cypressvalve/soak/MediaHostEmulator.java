package cypressvalve.soak;

import java.io.BufferedInputStream;
import java.io.FilterInputStream;
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
            InputStream in = new BufferedInputStream(new LateInput(connection.getInputStream()));
            while (true) {
                take(RtspMessage.read(in), connection);
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

    /** Hands over what has come only after the host's read delay. */
    private final class LateInput extends FilterInputStream {
        private LateInput(InputStream in) {
            super(in);
        }

        @Override
        public int read(byte[] bytes, int from, int length) throws IOException {
            int n = super.read(bytes, from, length);
            if (readDelayMillis > 0) {
                try {
                    TimeUnit.MILLISECONDS.sleep(readDelayMillis);
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            }
            return n;
        }
    }

    private void take(RtspMessage message, Socket connection) throws IOException {
        String session = message.session();
        switch (message.method()) {
            case "SETUP" -> setUp(session, connection);
            case "TEARDOWN" -> ended(session, "cancelled");
            case "OPTIONS" -> write(connection, RtspMessage.response(200, "3", session, "X-Occupancy: x0:0.1\r\n", EMPTY));
            default -> { }
        }
    }

    private void setUp(String session, Socket connection) throws IOException {
        record.add(Event.Kind.ATTEMPT_BEGUN, name, session, "");
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
