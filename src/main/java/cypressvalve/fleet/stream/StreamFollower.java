package cypressvalve.fleet.stream;

import cypressvalve.fleet.ListFollower;
import cypressvalve.fleet.membership.ListVersion;
import cypressvalve.net.Duplex;
import cypressvalve.net.EventReader;
import cypressvalve.net.HttpStream;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.xnio.IoFuture;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.StreamConnection;
import org.xnio.XnioIoThread;

/**
 * The coordinator's stream of changes, read on without losing or repeating one: numbers go on over breaks, silence and
 * a change of address. All on the I/O thread.
 */
public final class StreamFollower implements ListFollower {
    /** A comment comes each second; a stream that stays open without one is read anew well inside 4 s. */
    private static final long SILENT_MS = 2_200;
    private static final long CONNECT_MS = 700;
    /** The first try after a break is made at once, later ones apart: gateways must not come all together. */
    private static final long AGAIN_MS = 150;
    private static final long AGAIN_MOST_MS = 1_000;
    private static final int MOST_EVENT = 1 << 20;
    private static final int MOST_QUEUED = 4096;

    private final XnioIoThread thread;
    private final ByteBuffer buffer;
    private final int cells;
    private final Set<String> kinds;
    private final RandomGenerator chance;
    private final Consumer<ListVersion> taker;
    private final Consumer<String> log;
    private InetSocketAddress address;
    private long last;
    private Stream stream;
    private int failed;
    private boolean closed;

    /**
     * @param last the number of the last event that is known
     * @param taker takes each version once, in order
     * @param log takes a line where an event or a stream was refused
     */
    public StreamFollower(XnioIoThread thread, ByteBuffer buffer, InetSocketAddress address, long last, int cells,
        Set<String> kinds, RandomGenerator chance, Consumer<ListVersion> taker, Consumer<String> log) {
        this.thread = thread;
        this.buffer = buffer;
        this.address = address;
        this.last = last;
        this.cells = cells;
        this.kinds = kinds;
        this.chance = chance;
        this.taker = taker;
        this.log = log;
    }

    /** Begins to follow; on the thread. */
    public void start() {
        stream = new Stream();
    }

    /** Reads on at another address; on the thread. */
    public void move(InetSocketAddress to) {
        if (!to.equals(address)) {
            address = to;
            failed = 0;
            stream.end();
            stream = new Stream();
        }
    }

    @Override
    public void follow(boolean on) {
        // The coordinator pushes to all that read.
    }

    @Override
    public void fetch() {
        stream.end();
        stream = new Stream();
    }

    /** Stops. */
    public void close() {
        closed = true;
        stream.end();
    }

    private void broke() {
        if (!closed) {
            long pause = failed == 0 ? 1 : Math.min(AGAIN_MOST_MS, AGAIN_MS << Math.min(failed, 4));
            failed++;
            Stream old = stream;
            thread.executeAfter(() -> {
                if (!closed && stream == old) {
                    stream = new Stream();
                }
            }, 1 + (long) (pause * (0.5 + chance.nextDouble() / 2)), TimeUnit.MILLISECONDS);
        }
    }

    private void event(String text) throws Change.Refused {
        ListVersion version = Change.read(text, cells, kinds);
        if (version.version() > last) {
            last = version.version();
            taker.accept(version);
        }
    }

    /** One connection to the coordinator. */
    private final class Stream implements Duplex.Taker {
        private final EventReader events = new EventReader(MOST_EVENT, this::event);
        private final HttpStream http = new HttpStream(events::take);
        private final IoFuture<StreamConnection> connecting;
        private Duplex duplex;
        private long heardAt = System.nanoTime();
        private boolean over;

        private Stream() {
            connecting = thread.openStreamConnection(address, this::opened, OptionMap.EMPTY);
            connecting.addNotifier((future, nothing) -> {
                if (future.getStatus() == IoFuture.Status.FAILED) {
                    thread.execute(this::broken);
                }
            }, null);
            look(CONNECT_MS);
        }

        private void look(long in) {
            thread.executeAfter(() -> {
                long quiet = (System.nanoTime() - heardAt) / 1_000_000;
                if (over) {
                    return;
                }
                if (duplex == null || quiet >= SILENT_MS) {
                    broken();
                } else {
                    look(SILENT_MS - quiet + 1);
                }
            }, in, TimeUnit.MILLISECONDS);
        }

        private void opened(StreamConnection connection) {
            if (over) {
                IoUtils.safeClose(connection);
                return;
            }
            heardAt = System.nanoTime();
            duplex = new Duplex(connection, buffer, MOST_QUEUED, this);
            duplex.start();
            duplex.write(("GET /v2/stream HTTP/1.1\r\nHost: " + address.getHostString() + ":" + address.getPort()
                + "\r\nAccept: text/event-stream\r\nLast-Event-ID: " + last + "\r\n\r\n").getBytes(StandardCharsets.UTF_8));
        }

        private void event(String text) {
            try {
                StreamFollower.this.event(text);
                failed = 0;
            } catch (Change.Refused e) {
                log.accept("an event of the coordinator is refused: " + e.getMessage());
            }
        }

        private void broken() {
            if (!over) {
                end();
                broke();
            }
        }

        private void end() {
            over = true;
            connecting.cancel();
            if (duplex != null) {
                duplex.close();
            }
        }

        @Override
        public void bytes(ByteBuffer data) {
            heardAt = System.nanoTime();
            try {
                http.take(data);
            } catch (HttpStream.Unreadable e) {
                log.accept("the coordinator's answer is refused: " + e.getMessage());
                broken();
                return;
            }
            if (http.over()) {
                broken();
            }
        }

        @Override
        public void closed() {
            broken();
        }
    }
}
