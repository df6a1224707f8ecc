package cypressvalve.soak;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;

/**
 * A media host as a process of its own with one event loop, to be stopped and continued by signals; for one gateway. As it goes on it sees to
 * what is due first and then to its sockets, so that it writes on what it takes for open. A release goes out on the connection of the set-up,
 * else on any open one, and once more on the next connection that it takes; a write that fails at once is repeated elsewhere. What it does is
 * written to its standard output, a line each: nanoseconds of the system's monotonic clock, kind, session and detail.
 */
public final class LoopMediaHost {
    private static final int BACKLOG = 128;
    private static final int READ_BYTES = 64 * 1024;
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final long POLL_MILLIS = 1_000;
    /** A set-up takes so long, and longer for each other that is open. */
    private static final long ANSWER_MILLIS = 20;
    private static final long ANSWER_MILLIS_PER_OPEN = 15;
    private static final int NORMAL_CLEARING = 16;
    private static final byte[] EMPTY = {};
    private static final int PERCENT = 100;
    private static final int MAX_LATE_MILLIS = 1_000;
    private static final int MAX_RESET_MILLIS = 20;
    /** Before the port in the line that says where it listens. */
    static final String LISTENS = "LISTENS ";
    /** Says that it listens at its port as soon as it is sent a line. */
    static final String STANDS_BY = "STANDS BY";
    private static final int HABITS_ARGUMENT = 4;

    private record Timer(long atNanos, Runnable task) { }

    private final String name;
    private final long meanSessionMillis;
    private final HostHabits habits;
    private final RandomGenerator chance;
    private final PrintStream story = System.out;
    private final Selector selector = Selector.open();
    private final ServerSocketChannel server = ServerSocketChannel.open();
    private final PriorityQueue<Timer> timers = new PriorityQueue<>(Comparator.comparingLong(Timer::atNanos));
    private final Set<Connection> connections = new LinkedHashSet<>();
    private final Map<String, Connection> openSetUps = new HashMap<>();
    private final Map<String, Connection> sessions = new HashMap<>();
    /** Releases that go out on the next connection, too. */
    private final Set<String> repeats = new LinkedHashSet<>();
    private int accepted;
    private boolean lastWasReset;

    private LoopMediaHost(String name, long meanSessionMillis, long seed, int port, HostHabits habits) throws IOException {
        this.name = name;
        this.habits = habits;
        this.meanSessionMillis = meanSessionMillis;
        chance = RandomGeneratorFactory.of("L64X128MixRandom").create(seed);
        if (port != 0) {
            story.println(STANDS_BY);
            System.in.read();
        }
        server.setOption(StandardSocketOptions.SO_REUSEADDR, true);
        server.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), BACKLOG);
        server.configureBlocking(false);
        server.register(selector, SelectionKey.OP_ACCEPT);
        story.println(LISTENS + ((InetSocketAddress) server.getLocalAddress()).getPort());
        resetByNetworkLater();
    }

    /**
     * Arguments: name, mean length of sessions in milliseconds, seed, port, and those of {@link HostHabits}. With a port other than 0 it
     * listens once it is sent a line. Runs until it is killed, or who started it has ended.
     */
    public static void main(String[] arguments) throws IOException {
        new LoopMediaHost(arguments[0], Long.parseLong(arguments[1]), Long.parseLong(arguments[2]), Integer.parseInt(arguments[3]),
            HostHabits.parse(arguments, HABITS_ARGUMENT)).run();
    }

    private void resetByNetworkLater() {
        int mean = habits.networkResets().meanMillis();
        if (mean > 0) {
            after((long) (-Math.log(1 - chance.nextDouble()) * mean), () -> {
                List<Connection> open = List.copyOf(connections);
                if (habits.networkResets().ofAll()) {
                    open.forEach(Connection::reset);
                } else if (!open.isEmpty()) {
                    open.get(chance.nextInt(open.size())).reset();
                }
                resetByNetworkLater();
            });
        }
    }

    private void run() throws IOException {
        ProcessHandle parent = ProcessHandle.current().parent().orElseThrow();
        while (parent.isAlive()) {
            selector.select(timers.isEmpty() ? POLL_MILLIS : Math.max(1, (timers.peek().atNanos() - System.nanoTime()) / NANOS_PER_MILLI));
            while (!timers.isEmpty() && timers.peek().atNanos() <= System.nanoTime()) {
                timers.poll().task().run();
            }
            for (SelectionKey key : List.copyOf(selector.selectedKeys())) {
                if (key.isValid() && key.isAcceptable()) {
                    acceptAll();
                } else if (key.isValid()) {
                    ((Connection) key.attachment()).read();
                }
            }
            selector.selectedKeys().clear();
        }
    }

    private void after(long millis, Runnable task) {
        timers.add(new Timer(System.nanoTime() + millis * NANOS_PER_MILLI, task));
    }

    private void tell(Event.Kind kind, String session, String detail) {
        tell(System.nanoTime(), kind.name(), session, detail);
    }

    private void tell(long atNanos, String kind, String session, String detail) {
        story.println(atNanos + " " + kind + " " + session + " " + detail);
    }

    /** Only to be read beside a broken rule. */
    private void note(String session, String detail) {
        tell(System.nanoTime(), MediaHostProcess.NOTE, session, detail);
    }

    private void acceptAll() throws IOException {
        for (SocketChannel channel = server.accept(); channel != null; channel = server.accept()) {
            SocketChannel taken = channel;
            if (chance.nextInt(PERCENT) < habits.latePercent()) {
                after(chance.nextInt(MAX_LATE_MILLIS), () -> take(taken));
            } else {
                take(taken);
            }
        }
    }

    private void take(SocketChannel channel) {
        try {
            Connection connection = new Connection(channel);
            connections.add(connection);
            repeats.removeIf(session -> release(session, connection) || habits.countsFailedRepeats());
            lastWasReset = !lastWasReset && chance.nextInt(PERCENT) < habits.resetPercent();
            if (lastWasReset) {
                after(chance.nextInt(MAX_RESET_MILLIS), connection::reset);
            }
        } catch (IOException e) {
            note("-", "a connection that was taken has ended: " + e.getMessage());
        }
    }

    private void end(String session) {
        Connection own = sessions.remove(session);
        if (own == null) {
            return; // The gateway has ended it.
        }
        boolean released = release(session, own);
        for (Connection other : List.copyOf(connections)) {
            released = released || release(session, other);
        }
        if (!released) {
            tell(Event.Kind.SESSION_OVER, session, "no connection is open");
        }
        repeats.add(session);
    }

    private boolean release(String session, Connection connection) {
        long at = System.nanoTime();
        boolean written = connection.write(("TEARDOWN rtsp://media/s RTSP/1.0\r\nCSeq: 2\r\nSession: " + session + "\r\nReason: cause="
            + NORMAL_CLEARING + "\r\nContent-Length: 0\r\n\r\n").getBytes(StandardCharsets.ISO_8859_1));
        if (written) {
            tell(at, Event.Kind.SESSION_RELEASED.name(), session, String.valueOf(NORMAL_CLEARING));
            note(session, "written to " + connection.describe());
        }
        return written;
    }

    private void answer(String session, Connection connection) {
        if (!openSetUps.remove(session, connection)) {
            return; // It was given up.
        }
        String description = DescriptionForm.PAGE.answer(name, session);
        long at = System.nanoTime();
        if (connection.write(RtspMessage.response(200, "1", session, "", description.getBytes(StandardCharsets.ISO_8859_1)))) {
            tell(at, Event.Kind.ATTEMPT_SERVED.name(), session, description.replace("\r", "\\r").replace("\n", "\\n"));
            sessions.put(session, connection);
            after((long) (-Math.log(1 - chance.nextDouble()) * meanSessionMillis), () -> end(session));
        }
    }

    /** A connection from the gateway. */
    private final class Connection {
        private final int number = ++accepted;
        private final SocketChannel channel;
        private final int gatewayPort;
        private final ByteBuffer buffer = ByteBuffer.allocate(READ_BYTES);
        private byte[] unread = EMPTY;
        private boolean open = true;

        private Connection(SocketChannel channel) throws IOException {
            this.channel = channel;
            gatewayPort = channel.socket().getPort();
            channel.configureBlocking(false);
            channel.socket().setTcpNoDelay(true);
            channel.setOption(StandardSocketOptions.SO_LINGER, 0); // The process's death resets it.
            channel.register(selector, SelectionKey.OP_READ, this);
        }

        private String describe() {
            return "connection " + number + " from port " + gatewayPort;
        }

        /** Whether the system took it all. */
        private boolean write(byte[] message) {
            try {
                for (ByteBuffer out = ByteBuffer.wrap(message); open && out.hasRemaining(); ) {
                    channel.write(out);
                }
            } catch (IOException e) {
                close("a write failed");
            }
            return open;
        }

        private void read() {
            try {
                buffer.clear();
                int n = channel.read(buffer);
                ByteArrayOutputStream all = new ByteArrayOutputStream();
                all.writeBytes(unread);
                all.write(buffer.array(), 0, Math.max(0, n));
                unread = all.toByteArray();
                takeWholeMessages();
                if (n < 0) {
                    close("ended by the gateway");
                }
            } catch (IOException e) {
                close(String.valueOf(e.getMessage()));
            }
        }

        private void takeWholeMessages() throws IOException {
            ByteArrayInputStream in = new ByteArrayInputStream(unread);
            try {
                while (open && in.available() > 0) {
                    in.mark(0);
                    take(RtspMessage.read(in));
                }
            } catch (EOFException e) {
                in.reset(); // The rest is still to come.
            }
            unread = in.readAllBytes();
        }

        private void take(RtspMessage message) {
            String session = message.session();
            switch (message.method()) {
                case "SETUP" -> {
                    openSetUps.put(session, this);
                    after(ANSWER_MILLIS + ANSWER_MILLIS_PER_OPEN * openSetUps.size(), () -> answer(session, this));
                }
                case "TEARDOWN" -> {
                    openSetUps.remove(session);
                    repeats.remove(session);
                    if (sessions.remove(session) != null) {
                        tell(Event.Kind.SESSION_ENDED_BY_GATEWAY, session, "");
                    }
                    write(RtspMessage.response(200, "2", session, "", EMPTY));
                }
                case "OPTIONS" -> write(RtspMessage.response(200, "3", session, "X-Occupancy: x0:0.1\r\n", EMPTY));
                default -> { }
            }
        }

        private void reset() {
            end("reset");
        }

        private void close(String why) {
            try {
                channel.setOption(StandardSocketOptions.SO_LINGER, -1);
            } catch (IOException e) {
                note("-", describe() + " can't be ended in order: " + e.getMessage());
            }
            end(why);
        }

        private void end(String why) {
            if (open) {
                open = false;
                note("-", describe() + " closed: " + why);
                connections.remove(this);
                openSetUps.values().removeIf(connection -> connection == this);
                try {
                    channel.close();
                } catch (IOException e) {
                    return; // It is closed all the same.
                }
            }
        }
    }
}
