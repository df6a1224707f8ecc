import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;

/**
 * A sound media host as a process of its own, to be stopped and continued by signals; one event loop, as servers of this kind have: timers that
 * are due, then new connections and what can be read. NAME WORK_MS LEAST_LIFE_MS MOST_LIFE_MS.
 */
public final class LoopHost {
    private static final int IDLE_MS = 15_000;

    private record Timer(double at, Runnable task) { }

    private final Rig rig = Rig.inChild();
    private final String name;
    private final int work;
    private final int least;
    private final int most;
    private final Random chance = new Random(1);
    private final Selector selector = Selector.open();
    private final ServerSocketChannel server = ServerSocketChannel.open();
    private final PriorityQueue<Timer> timers = new PriorityQueue<>(Comparator.comparingDouble(Timer::at));
    private final List<Connection> connections = new ArrayList<>();
    private final Map<String, Connection> sessions = new LinkedHashMap<>();
    /** Ends that are to be said on connections that are opened yet, with on how many. */
    private final Map<String, Integer> again = new LinkedHashMap<>();
    private final Map<String, Double> said = new HashMap<>();
    private int begun;

    private LoopHost(String[] arguments) throws IOException {
        name = arguments[0];
        work = Integer.parseInt(arguments[1]);
        least = Integer.parseInt(arguments[2]);
        most = Integer.parseInt(arguments[3]);
        server.bind(new InetSocketAddress(InetAddress.getByName(Rig.LOCAL), 0), 128);
        server.configureBlocking(false);
        server.register(selector, SelectionKey.OP_ACCEPT);
        rig.told("PORT", Integer.toString(((InetSocketAddress) server.getLocalAddress()).getPort()));
    }

    public static void main(String[] arguments) throws IOException {
        new LoopHost(arguments).loop();
    }

    private void after(double ms, Runnable task) {
        timers.add(new Timer(Rig.ms() + ms, task));
    }

    private void loop() throws IOException {
        while (Rig.ms() < 200_000) {
            while (!timers.isEmpty() && timers.peek().at() <= Rig.ms()) {
                timers.poll().task().run();
            }
            selector.select(timers.isEmpty() ? 100 : Math.max(1, Math.min(100, (long) (timers.peek().at() - Rig.ms()))));
            List<SelectionKey> ready = List.copyOf(selector.selectedKeys());
            selector.selectedKeys().clear();
            for (SelectionKey key : ready) {
                if (key.channel() == server) {
                    for (SocketChannel channel = server.accept(); channel != null; channel = server.accept()) {
                        opened(new Connection(channel));
                    }
                } else if (key.isValid()) {
                    ((Connection) key.attachment()).read();
                }
            }
        }
    }

    private void opened(Connection connection) {
        connections.add(connection);
        List<String> due = List.copyOf(again.keySet());
        StringBuilder all = new StringBuilder(); // One write for all that is due on a new connection.
        due.forEach(session -> all.append(release(session)));
        if (!due.isEmpty() && connection.write(all.toString())) {
            due.forEach(session -> noteSaid(connection, session));
            due.forEach(session -> again.computeIfPresent(session, (s, left) -> left > 1 ? left - 1 : null));
        }
    }

    private static String release(String session) {
        return "TEARDOWN rtsp://media/session RTSP/1.0\r\nCSeq: 2\r\nSession: " + session + "\r\nReason: cause=16\r\nContent-Length: 0\r\n\r\n";
    }

    private void noteSaid(Connection on, String session) {
        if (said.putIfAbsent(session, Rig.ms()) == null) {
            rig.told("SAID", session);
        }
        rig.note(name, "TEARDOWN " + session + " cause=16 on connection " + on.number);
    }

    private void end(String session) {
        if (!sessions.containsKey(session)) {
            return;
        }
        Connection of = sessions.remove(session);
        rig.told("OVER", session);
        boolean told = of.open && sayEnd(of, session);
        for (Connection other : told ? List.<Connection>of() : List.copyOf(connections)) {
            told = told || other.open && sayEnd(other, session);
        }
        if (!told) {
            rig.note(name, "session " + session + " is over; no connection is open to say so");
        }
        again.put(session, told ? 1 : 2); // "Also on the next one that is opened"; where none was open, that one stands for the first.
    }

    private boolean sayEnd(Connection on, String session) {
        if (!on.write(release(session))) {
            return false;
        }
        noteSaid(on, session);
        return true;
    }

    private final class Connection {
        private final int number = ++begun;
        private final SocketChannel channel;
        private ByteBuffer in = ByteBuffer.allocate(64 * 1024);
        private boolean open = true;
        private double heardAt = Rig.ms();

        private Connection(SocketChannel channel) throws IOException {
            this.channel = channel;
            channel.configureBlocking(false);
            channel.socket().setTcpNoDelay(true);
            channel.register(selector, SelectionKey.OP_READ, this);
            after(IDLE_MS, this::closeIdle);
        }

        private void closeIdle() {
            if (open && heardAt + IDLE_MS <= Rig.ms()) {
                read(); // What has come and was not read is no silence.
            }
            double left = heardAt + IDLE_MS - Rig.ms();
            if (open && left > 0) {
                after(left, this::closeIdle);
            } else if (open) {
                rig.note(name, "closes idle connection " + number);
                close();
            }
        }

        private boolean write(String text) {
            ByteBuffer out = ByteBuffer.wrap(text.getBytes(StandardCharsets.UTF_8));
            try {
                while (open && out.hasRemaining()) {
                    channel.write(out);
                }
                return open;
            } catch (IOException e) {
                close();
                return false;
            }
        }

        private void close() {
            open = false;
            connections.remove(this);
            try {
                channel.close();
            } catch (IOException e) {
                // It is closed all the same.
            }
        }

        private void read() {
            try {
                int n = channel.read(in);
                heardAt = n > 0 ? Rig.ms() : heardAt;
                in.flip();
                while (open && one()) {
                }
                in.compact();
                if (n < 0) {
                    close();
                }
            } catch (IOException e) {
                close();
            }
        }

        private boolean one() {
            String text = StandardCharsets.ISO_8859_1.decode(in.duplicate()).toString();
            int head = text.indexOf("\r\n\r\n");
            if (head < 0) {
                return false;
            }
            String[] lines = text.substring(0, head).split("\r\n");
            Map<String, String> fields = new HashMap<>();
            for (int i = 1; i < lines.length; i++) {
                int colon = lines[i].indexOf(':');
                fields.put(lines[i].substring(0, colon).toLowerCase(Locale.ROOT), lines[i].substring(colon + 1).strip());
            }
            int length = Integer.parseInt(fields.getOrDefault("content-length", "0"));
            if (in.remaining() < head + 4 + length) {
                return false;
            }
            String body = text.substring(head + 4, head + 4 + length);
            in.position(in.position() + head + 4 + length);
            take(lines[0], fields, fields.getOrDefault("session", ""), body);
            return true;
        }

        private void take(String first, Map<String, String> fields, String session, String body) {
            if (first.startsWith("SETUP ")) {
                rig.note(name, "SETUP " + session + " on connection " + number);
                after(work, () -> answer(session, body));
            } else if (first.startsWith("TEARDOWN ")) {
                rig.note(name, "heard TEARDOWN " + session + (sessions.remove(session) != null ? ", it stood" : ""));
                write("RTSP/1.0 200 OK\r\nCSeq: 2\r\nSession: " + session + "\r\nContent-Length: 0\r\n\r\n");
                givenUp.add(session);
            } else if (first.startsWith("OPTIONS ")) {
                write("RTSP/1.0 200 OK\r\nCSeq: 3\r\nSession: " + session + "\r\n"
                    + (first.contains("/load") ? "X-Occupancy: inflight:" + sessions.size() + ";x0:0.2\r\n" : "") + "Content-Length: 0\r\n\r\n");
            } else if (first.startsWith("RTSP/1.0") && fields.getOrDefault("cseq", "").equals("2")) {
                rig.note(name, "release of " + session + " was heard");
            }
        }

        private final List<String> givenUp = new ArrayList<>();

        private void answer(String session, String offer) {
            if (!open || givenUp.remove(session)) {
                return; // The set-up was given up.
            }
            sessions.put(session, this);
            String body = offer.split("\r\n", 2)[0] + "\r\nc=IN IP4 127.0.0.1\r\nm=audio " + (20000 + Math.floorMod(session.hashCode(), 20000))
                + " RTP/AVP 0 8 101\r\n";
            write("RTSP/1.0 200 OK\r\nCSeq: 1\r\nSession: " + session + "\r\nContent-Length: " + body.length() + "\r\n\r\n" + body);
            rig.note(name, "200 to SETUP " + session);
            after(least + chance.nextInt(most - least + 1), () -> end(session));
        }
    }
}
