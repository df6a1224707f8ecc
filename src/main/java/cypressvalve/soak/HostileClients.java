package cypressvalve.soak;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

/**
 * Clients that no usual client is like: they hold many connections with messages that never get whole, or send at full speed on one. They
 * read whatever they are sent. Nothing that they say is recorded but what media hosts may be sent, as they are owed no more than a refusal or
 * a close.
 */
final class HostileClients implements AutoCloseable {
    private static final int MAX_MESSAGE = 16 * 1024;
    private static final int HEAD_BYTES = 9;
    private static final int SET_UP = 1;
    private static final int RELEASE = 12;
    private static final int TEST = 52;
    private static final int CONNECT_MILLIS = 2_000;
    private static final int FLOOD_BYTES = 32 * 1024;
    private static final long SLOW_MILLIS = 50;
    private static final int PATIENCE_MILLIS = 1_000;
    /** So that a set-up, and what is made of it for a media host, fits a message. */
    private static final int LONG_DESCRIPTION_BYTES = 15_800;

    /** What a connection that is held says. */
    enum Held {
        /** A large message, some bytes at a time. */
        SLOW,
        /** A large message up to its middle. */
        HALF,
        /** A large message of very many short parameters, whole but for its last byte. */
        SHORT_PARAMETERS
    }

    /** What is sent at full speed on one connection. */
    enum Flood {
        /** Tests of the gateway. */
        TESTS,
        /** Releases of sessions that nobody knows, each of another. */
        UNKNOWN_RELEASES,
        /** Set-ups that can't be understood, each under another id. */
        UNSOUND_SET_UPS,
        /** Set-ups with names of classes, tenants and titles that were never heard, each under another id. */
        NEW_NAMES
    }

    private final InetSocketAddress gateway;
    private final RandomGenerator chance;
    private final List<Socket> sockets = new ArrayList<>();
    private final List<Thread> threads = new ArrayList<>();
    private volatile boolean closed;

    HostileClients(InetSocketAddress gateway, RandomGenerator chance) {
        this.gateway = gateway;
        this.chance = chance;
    }

    /**
     * Sends so many whole requests at once on one connection, each as long as a message may be; what they offer is recorded, as media
     * hosts may be sent it.
     *
     * @param at the media host at which they are said to play already; null where they are new
     */
    void burst(int requests, int copies, String at, EventRecord record) {
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        for (int i = 0; i < requests; i++) {
            ClientEmulator.SetUp request = new ClientEmulator.SetUp(nextId(), "a", "t", "abcdef", PATIENCE_MILLIS, copies);
            String description = lengthened(DescriptionForm.PAGE.offer(ClientEmulator.id(request.id())));
            record.add(Event.Kind.REQUEST_OFFERED, "hostile", ClientEmulator.id(request.id()),
                ClientEmulator.offer(request.plan(), request.title(), description));
            all.writeBytes(ClientEmulator.message(SET_UP, request.id(),
                ClientEmulator.parameters(request, at == null ? "" : ";at:" + at, description)));
        }
        start(() -> {
            try (Socket socket = connected()) {
                start(() -> drain(socket));
                socket.getOutputStream().write(all.toByteArray());
                while (!closed) {
                    TimeUnit.MILLISECONDS.sleep(SLOW_MILLIS);
                }
            }
        });
    }

    private long nextId() {
        synchronized (chance) {
            return chance.nextLong();
        }
    }

    private static String lengthened(String description) {
        StringBuilder text = new StringBuilder(description);
        for (int i = 0; text.length() < LONG_DESCRIPTION_BYTES; i++) {
            text.append("a=candidate:").append(i).append(" 1 UDP 2130706431\r\n");
        }
        return text.toString();
    }

    /** Opens one more connection of that kind, and again where the gateway closes it. */
    void hold(Held kind) {
        byte[] message = kind == Held.SHORT_PARAMETERS ? shortParameters() : large();
        start(() -> {
            while (!closed) {
                try (Socket socket = connected()) {
                    int whole = kind == Held.HALF ? message.length / 2 : message.length - 1;
                    int piece = kind == Held.SLOW ? message.length / 100 : whole;
                    for (int from = 0; from < whole && !closed; from += piece) {
                        socket.getOutputStream().write(message, from, Math.min(piece, whole - from));
                        TimeUnit.MILLISECONDS.sleep(kind == Held.SLOW ? SLOW_MILLIS : 0);
                    }
                    drain(socket);
                } catch (IOException e) {
                    TimeUnit.MILLISECONDS.sleep(SLOW_MILLIS); // Closed on, or not taken.
                }
            }
        });
    }

    /** Sends at full speed on one connection, and on a new one where the gateway closes it. */
    void flood(Flood kind) {
        start(() -> {
            while (!closed) {
                try (Socket socket = connected()) {
                    start(() -> drain(socket));
                    while (!closed) {
                        socket.getOutputStream().write(messages(kind));
                    }
                } catch (IOException e) {
                    continue; // Closed on.
                }
            }
        });
    }

    private interface Task {
        void run() throws IOException, InterruptedException;
    }

    private synchronized void start(Task task) {
        Thread thread = new Thread(() -> {
            try {
                task.run();
            } catch (IOException e) {
                return; // Its connection has ended.
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }, "hostile client");
        thread.setDaemon(true);
        threads.add(thread);
        thread.start();
    }

    private Socket connected() throws IOException {
        Socket socket = new Socket();
        synchronized (this) {
            sockets.removeIf(Socket::isClosed);
            sockets.add(socket);
        }
        socket.connect(gateway, CONNECT_MILLIS);
        return socket;
    }

    private static void drain(Socket socket) throws IOException {
        InputStream in = socket.getInputStream();
        byte[] chunk = new byte[MAX_MESSAGE];
        int n = in.read(chunk);
        while (n >= 0) {
            n = in.read(chunk);
        }
    }

    private byte[] messages(Flood kind) {
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        while (all.size() < FLOOD_BYTES) {
            long id = nextId();
            String name = Long.toHexString(nextId());
            all.writeBytes(switch (kind) {
                case TESTS -> ClientEmulator.message(TEST, id, new byte[] {(byte) 171, 0, 1, 0});
                case UNKNOWN_RELEASES -> ClientEmulator.message(RELEASE, id, new byte[] {(byte) 171, 0, 1, 16});
                case UNSOUND_SET_UPS -> ClientEmulator.message(SET_UP, id, new byte[] {(byte) 129, 0, 1, 'x'});
                case NEW_NAMES -> ClientEmulator.message(new ClientEmulator.SetUp(id, name, name, name, 1_000, 1));
            });
        }
        return all.toByteArray();
    }

    private static byte[] large() {
        return ClientEmulator.message(SET_UP, 1, new byte[MAX_MESSAGE - HEAD_BYTES]);
    }

    private static byte[] shortParameters() {
        byte[] parameters = new byte[MAX_MESSAGE - HEAD_BYTES];
        for (int i = 0; i + 3 < parameters.length; i += 4) {
            parameters[i] = (byte) (i / 4);
            parameters[i + 2] = 1;
        }
        return ClientEmulator.message(SET_UP, 1, parameters);
    }

    @Override
    public void close() throws IOException {
        closed = true;
        List<Socket> open;
        List<Thread> running;
        synchronized (this) {
            open = List.copyOf(sockets);
            running = List.copyOf(threads);
        }
        for (Socket socket : open) {
            socket.close();
        }
        running.forEach(Thread::interrupt);
    }
}
