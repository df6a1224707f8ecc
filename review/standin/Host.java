import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * A sound media host of one gateway: it answers set-ups and tests, ends a connection that the gateway has ended, closes idle ones, and
 * says the end of a session on the connection of its set-up, else on any open one, and also on the next one that is opened.
 */
class Host {
    /** connIdleNs of the settings. */
    static final int IDLE_MS = 15_000;

    final Rig rig;
    final String name;
    final int cell;
    ServerSocket server;
    final List<Connection> connections = new ArrayList<>();
    /** Sessions that stand, with the connection of their set-up. */
    final Map<String, Connection> sessions = new LinkedHashMap<>();
    /** Ends that are to be said on connections that are opened yet, with on how many. */
    final Map<String, Integer> again = new LinkedHashMap<>();
    /** When the end of a session was first written to a connection, by session; in ms of the case. */
    final Map<String, Double> released = new HashMap<>();
    /** When a session was over at this host. */
    final Map<String, Double> over = new HashMap<>();

    Host(Rig rig, String name, int cell) throws IOException {
        this.rig = rig;
        this.name = name;
        this.cell = cell;
        listen(0);
    }

    final int port() {
        return server.getLocalPort();
    }

    final void listen(int port) throws IOException {
        server = new ServerSocket();
        server.setReuseAddress(true);
        server.bind(new InetSocketAddress(InetAddress.getByName(Rig.LOCAL), port), 128);
        ServerSocket mine = server;
        Coordinator.thread(() -> accept(mine));
    }

    final String entry(String state, long startedAtMs) {
        return Rig.entry(name, port(), cell, state, startedAtMs);
    }

    private void accept(ServerSocket mine) {
        while (true) {
            try {
                Socket socket = mine.accept();
                Connection connection = new Connection(socket);
                Coordinator.thread(connection::read);
            } catch (IOException e) {
                return;
            }
        }
    }

    /** A session that plays here as the day begins; its end is said on any open connection. */
    synchronized void holds(String session) {
        sessions.put(session, null);
    }

    /** The session has come to its end. */
    synchronized void end(String session) {
        if (!sessions.containsKey(session)) {
            return;
        }
        Connection of = sessions.remove(session);
        over.put(session, Rig.ms());
        rig.told("OVER", session);
        Connection on = of != null && of.open ? of : connections.stream().filter(c -> c.open).findFirst().orElse(null);
        boolean said = on != null && sayEnd(on, session);
        for (Connection other : said ? List.<Connection>of() : List.copyOf(connections)) {
            said = said || other.open && sayEnd(other, session); // That of its set-up was found to be broken.
        }
        if (!said) {
            rig.note(name, "session " + session + " is over; no connection is open to say so");
        }
        again.put(session, said ? 1 : 2); // "Also on the next one that is opened"; where none was open, that one stands for the first.
    }

    private boolean sayEnd(Connection on, String session) {
        if (on.write("TEARDOWN rtsp://media/session RTSP/1.0\r\nCSeq: 2\r\nSession: " + session + "\r\nReason: cause=16\r\nContent-Length: 0\r\n\r\n")) {
            if (released.putIfAbsent(session, Rig.ms()) == null) {
                rig.told("SAID", session);
            }
            rig.note(name, "TEARDOWN " + session + " cause=16 on connection " + on.number);
            return true;
        }
        return false;
    }

    /** What becomes of a set-up that has come whole; overridden by cases. */
    void setUp(Connection on, String session, Map<String, String> fields, byte[] description) {
        answer(on, session, description);
    }

    final void answer(Connection on, String session, byte[] description) {
        synchronized (this) {
            sessions.put(session, on);
        }
        String first = new String(description, StandardCharsets.UTF_8).split("\r\n", 2)[0];
        String body = first + "\r\nc=IN IP4 127.0.0.1\r\nm=audio " + (20000 + Math.floorMod(session.hashCode(), 20000)) + " RTP/AVP 0 8 101\r\n";
        on.write("RTSP/1.0 200 OK\r\nCSeq: 1\r\nSession: " + session + "\r\nContent-Length: " + body.length() + "\r\n\r\n" + body);
        rig.note(name, "200 to SETUP " + session);
    }

    /** The set-up was given up or the session was ended by the gateway. */
    synchronized void teardown(Connection on, String session, Map<String, String> fields) {
        boolean stood = sessions.containsKey(session);
        sessions.remove(session);
        rig.note(name, "heard TEARDOWN " + session + " " + fields.getOrDefault("reason", "(given up)") + (stood ? ", it stood" : ""));
        on.write("RTSP/1.0 200 OK\r\nCSeq: 2\r\nSession: " + session + "\r\nContent-Length: 0\r\n\r\n");
    }

    private int begun;

    final class Connection {
        final int number;
        final Socket socket;
        final OutputStream out;
        volatile boolean open = true;

        private Connection(Socket socket) throws IOException {
            this.socket = socket;
            socket.setTcpNoDelay(true);
            out = socket.getOutputStream();
            synchronized (Host.this) {
                number = ++begun;
                connections.add(this);
                for (String session : List.copyOf(again.keySet())) {
                    if (sayEnd(this, session)) {
                        again.computeIfPresent(session, (s, left) -> left > 1 ? left - 1 : null);
                    }
                }
            }
        }

        final boolean write(String text) {
            synchronized (out) {
                if (!open) {
                    return false;
                }
                try {
                    out.write(text.getBytes(StandardCharsets.UTF_8));
                    out.flush();
                    return true;
                } catch (IOException e) {
                    close();
                    return false;
                }
            }
        }

        final void close() {
            open = false;
            try {
                socket.close();
            } catch (IOException e) {
                // It is closed all the same.
            }
            synchronized (Host.this) {
                connections.remove(this);
            }
        }

        private void read() {
            try {
                socket.setSoTimeout(IDLE_MS);
                InputStream in = new BufferedInputStream(socket.getInputStream());
                while (one(in)) {
                }
            } catch (SocketTimeoutException e) {
                rig.note(name, "closes idle connection " + number);
            } catch (IOException e) {
                // Reset.
            }
            close();
        }

        private boolean one(InputStream in) throws IOException {
            String first = line(in);
            while (first != null && first.isEmpty()) {
                first = line(in);
            }
            if (first == null) {
                return false;
            }
            Map<String, String> fields = new HashMap<>();
            for (String line = line(in); line != null && !line.isEmpty(); line = line(in)) {
                int colon = line.indexOf(':');
                fields.put(line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).strip());
            }
            byte[] body = in.readNBytes(Integer.parseInt(fields.getOrDefault("content-length", "0")));
            String session = fields.getOrDefault("session", "");
            if (first.startsWith("SETUP ")) {
                rig.note(name, "SETUP " + session + " " + first.split(" ")[1] + " class " + fields.get("x-cos") + " on connection " + number);
                setUp(this, session, fields, body);
            } else if (first.startsWith("TEARDOWN ")) {
                teardown(this, session, fields);
            } else if (first.startsWith("OPTIONS ")) {
                write("RTSP/1.0 200 OK\r\nCSeq: 3\r\nSession: " + session + "\r\n"
                    + (first.contains("/load") ? "X-Occupancy: inflight:" + sessions.size() + ";x0:0.2\r\n" : "") + "Content-Length: 0\r\n\r\n");
            } else if (first.startsWith("RTSP/1.0") && fields.getOrDefault("cseq", "").equals("2")) {
                rig.note(name, "release of " + session + " was heard");
            }
            return true;
        }

        private String line(InputStream in) throws IOException {
            StringBuilder line = new StringBuilder();
            for (int b = in.read(); b >= 0; b = in.read()) {
                if (b == '\n') {
                    return line.length() > 0 && line.charAt(line.length() - 1) == '\r' ? line.substring(0, line.length() - 1) : line.toString();
                }
                line.append((char) b);
            }
            return null;
        }
    }
}
