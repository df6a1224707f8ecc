import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * A media host: takes set-ups over RTSP, answers them, and holds their sessions until they are released or it dies. It ends none of its own
 * accord: what the cases play is shorter. Each connection has a thread.
 */
class Host {
    /** One message as it came. */
    static final class Message {
        String first = "";
        final Map<String, String> fields = new HashMap<>();
        byte[] body = {};

        String session() {
            return fields.getOrDefault("session", "");
        }

        boolean is(String method) {
            return first.startsWith(method + " ");
        }
    }

    /** One connection from a gateway. */
    final class Connection {
        final Socket socket;
        private final OutputStream out;

        private Connection(Socket socket) throws IOException {
            this.socket = socket;
            out = socket.getOutputStream();
        }

        synchronized void write(String head, byte[] body) {
            try {
                ByteArrayOutputStream all = new ByteArrayOutputStream();
                all.write((head + "\r\nContent-Length: " + body.length + "\r\n\r\n").getBytes(StandardCharsets.UTF_8));
                all.write(body);
                out.write(all.toByteArray());
                out.flush();
            } catch (IOException e) {
                lab.note(name + " could not write: " + e.getMessage());
            }
        }

        void answer(int status, Message to, byte[] body, String... fields) {
            StringBuilder head = new StringBuilder("RTSP/1.0 " + status + " x\r\nCSeq: " + to.fields.get("cseq")
                + "\r\nSession: " + to.session());
            for (String field : fields) {
                head.append("\r\n").append(field);
            }
            write(head.toString(), body);
        }

        private void run() {
            try {
                InputStream in = new BufferedInputStream(socket.getInputStream());
                for (Message m = next(in); m != null; m = next(in)) {
                    awaitHeal();
                    take(this, m);
                }
            } catch (IOException e) {
                // It is over.
            }
            awaitHeal();
            connections.remove(this);
            try {
                socket.close();
            } catch (IOException e) {
                // It is closed.
            }
        }
    }

    final Lab lab;
    final String name;
    final List<Connection> connections = new CopyOnWriteArrayList<>();
    /** Sessions that stand, with when they began. */
    final Map<String, Long> sessions = new ConcurrentHashMap<>();
    /** Set-ups that came whole, by session, with when. */
    final Map<String, Long> setUps = new ConcurrentHashMap<>();
    final List<Long> setUpTimes = new CopyOnWriteArrayList<>();
    private ServerSocket server;
    private Thread taker;
    private final List<Socket> fillers = new ArrayList<>();
    /** Nothing comes to it or from it: open connections are silent, new ones never come up. */
    private volatile boolean cutOff;
    private final Object healed = new Object();
    int port;

    Host(Lab lab, String name) {
        this.lab = lab;
        this.name = name;
    }

    /** Listens, on a port of the system's if none is given. */
    Host listen(int at) throws IOException {
        ServerSocket socket = new ServerSocket();
        socket.setReuseAddress(true);
        socket.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), at), 8);
        server = socket;
        port = socket.getLocalPort();
        taker = new Thread(() -> accept(socket), "accept " + name);
        taker.setDaemon(true);
        taker.start();
        return this;
    }

    String address() {
        return "127.0.0.1:" + port;
    }

    private void accept(ServerSocket socket) {
        try {
            while (true) {
                Socket s = socket.accept();
                awaitHeal();
                s.setTcpNoDelay(true);
                Connection connection = new Connection(s);
                connections.add(connection);
                Thread reader = new Thread(connection::run, name);
                reader.setDaemon(true);
                reader.start();
            }
        } catch (IOException e) {
            // It listens no more.
        }
    }

    private static String line(InputStream in) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        for (int b = in.read(); b != '\n'; b = in.read()) {
            if (b < 0) {
                return null;
            }
            bytes.write(b);
        }
        return bytes.toString(StandardCharsets.UTF_8).stripTrailing();
    }

    private static Message next(InputStream in) throws IOException {
        Message m = new Message();
        String line = line(in);
        if (line == null) {
            return null;
        }
        m.first = line;
        for (line = line(in); line != null && !line.isEmpty(); line = line(in)) {
            int colon = line.indexOf(':');
            m.fields.put(line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).strip());
        }
        m.body = in.readNBytes(Integer.parseInt(m.fields.getOrDefault("content-length", "0")));
        return m;
    }

    void take(Connection connection, Message m) {
        if (m.is("SETUP")) {
            setUps.put(m.session(), lab.now());
            setUpTimes.add(lab.now());
            lab.note(name + " reads SETUP " + m.session());
            setUp(connection, m);
        } else if (m.is("TEARDOWN")) {
            lab.note(name + " reads TEARDOWN " + m.session());
            sessions.remove(m.session());
            connection.answer(200, m, new byte[0]);
        } else if (m.is("OPTIONS")) {
            connection.answer(200, m, new byte[0], "X-Occupancy: inflight:" + sessions.size() + ";x0:" + linkUse());
        }
    }

    /** What is reported as x0. */
    double linkUse() {
        return 0.1;
    }

    /** Takes the set-up at once. */
    void setUp(Connection connection, Message m) {
        stand(connection, m, ("0000000000000001\r\nc=IN IP4 127.0.0.1\r\nm=audio 40000 RTP/AVP 0\r\n")
            .getBytes(StandardCharsets.UTF_8));
    }

    void stand(Connection connection, Message m, byte[] description) {
        sessions.put(m.session(), lab.now());
        connection.answer(200, m, description);
        lab.note(name + " answers 200 to " + m.session());
    }

    /** As the coordinator lists it. */
    Coordinator.Entry entry(int cell, String state, long startedAtMs) {
        return new Coordinator.Entry(name, address(), cell, state, startedAtMs);
    }

    /** How many set-ups came at most within that many milliseconds. */
    int mostSetUpsWithin(long millis) {
        List<Long> times = List.copyOf(setUpTimes);
        return (int) times.stream().mapToLong(from -> times.stream().filter(t -> t >= from && t < from + millis).count()).max().orElse(0);
    }

    /** Takes no connection any more, and frees its port. */
    void stopListening() throws IOException, InterruptedException {
        server.close();
        taker.join(2_000);
    }

    /** The process dies: its connections are reset, its sessions are cut, and connections are refused. */
    void die() throws IOException {
        lab.note(name + " dies, with sessions " + sessions.keySet());
        server.close();
        for (Connection c : connections) {
            c.socket.setSoLinger(true, 0);
            c.socket.close();
        }
        connections.clear();
        sessions.clear();
    }

    private void awaitHeal() {
        synchronized (healed) {
            while (cutOff) {
                try {
                    healed.wait();
                } catch (InterruptedException e) {
                    return;
                }
            }
        }
    }

    /** The machine vanishes or is cut off: open connections stay open and silent, and new ones never come up. */
    void cutOff() {
        lab.note(name + " says nothing any more, with sessions " + sessions.keySet());
        cutOff = true;
        // The queue of the listener is filled, so that its system takes no more: what else tries is not answered.
        synchronized (fillers) {
            for (int i = 0, failed = 0; i < 200 && failed < 2; i++) {
                Socket s = new Socket();
                fillers.add(s);
                try {
                    s.connect(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), port), 20);
                } catch (IOException e) {
                    failed++;
                }
            }
        }
    }

    /** What was cut off is reached again, with all that it held. */
    void heal() throws IOException {
        synchronized (fillers) {
            for (Socket s : fillers) {
                s.close();
            }
            fillers.clear();
        }
        synchronized (healed) {
            cutOff = false;
            healed.notifyAll();
        }
    }
}
