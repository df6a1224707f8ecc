package cypressvalve.fleet.stream;

import cypressvalve.fleet.ListFollower;
import cypressvalve.fleet.membership.ListVersion;
import cypressvalve.net.Duplex;
import cypressvalve.net.EventReader;
import cypressvalve.net.HttpStream;
import cypressvalve.net.PollCycles;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.xnio.IoFuture;
import org.xnio.IoUtils;
import org.xnio.StreamConnection;
import org.xnio.XnioIoThread;

/**
 * The coordinator's stream of changes, read on without losing or repeating one: numbers go on over breaks, silence and
 * a change of address. All on the I/O thread.
 */
public final class StreamFollower implements ListFollower {
    /** A comment comes each second; a stream that stays open without one is read anew well inside 4 s. */
    private static final long SILENT_MS = 2_200;
    /** One that has brought nothing behind its head is given up sooner, as it may be the second that falls silent. */
    private static final long NOTHING_MS = 1_300;
    private static final long CONNECT_MS = 700;
    /** A call that is up and not answered may be at a coordinator that is slow or crowded: to call again only adds to that. */
    private static final long NO_ANSWER_MS = 3_000;
    /** Gateways that a break meets together come apart from the first try on, yet well inside the 2 s that they have. */
    private static final long FIRST_MS = 500;
    private static final long AGAIN_MS = 150;
    private static final long AGAIN_MOST_MS = 1_000;
    /** What the coordinator has to tell when it is asked comes within this of its answer. */
    private static final long TOLD_MS = 60;
    /** A stream that has lived so long is well: the next break is a first one again. */
    private static final long WELL_MS = 2_000;
    /** So often an event that can't be read, or one with others missing before it, is asked for anew from the last good. */
    private static final int MOST_ANEW = 3;
    private static final int MOST_EVENT = 1 << 20;
    private static final int MOST_QUEUED = 4096;

    private final XnioIoThread thread;
    private final PollCycles polls;
    private final ByteBuffer buffer;
    private final int cells;
    private final Set<String> kinds;
    private final RandomGenerator chance;
    private final Supplier<InetSocketAddress> told;
    private final Consumer<ListVersion> taker;
    private final Consumer<String> log;
    private InetSocketAddress address;
    private long last;
    private Stream stream;
    private int failed;
    /** After which number what followed could not be taken, and how often. */
    private long stuckAt = -1;
    private int stuck;
    /** Numbers were found to leave some out for good. */
    private boolean gapsAreUsual;
    private boolean closed;
    private Runnable whenCurrent;

    /**
     * @param last the number of the last event that is known
     * @param told where the coordinator is said to be by now, null if that can't be read; asked where it can't be reached
     * @param taker takes each version once, in order
     * @param log takes a line for each stream and each event, and where one was refused
     */
    public StreamFollower(PollCycles polls, ByteBuffer buffer, InetSocketAddress address, long last, int cells,
        Set<String> kinds, RandomGenerator chance, Supplier<InetSocketAddress> told, Consumer<ListVersion> taker,
        Consumer<String> log) {
        this.polls = polls;
        thread = polls.thread();
        this.buffer = buffer;
        this.address = address;
        this.last = last;
        this.cells = cells;
        this.kinds = kinds;
        this.chance = chance;
        this.told = told;
        this.taker = taker;
        this.log = log;
    }

    /**
     * Begins to follow; on the thread.
     *
     * @param current run once, when a stream was answered and what it had to tell at once was taken
     */
    public void start(Runnable current) {
        whenCurrent = current;
        if (!closed) {
            stream = new Stream();
        }
    }

    private void current() {
        if (whenCurrent != null) {
            whenCurrent.run();
            whenCurrent = null;
        }
    }

    /** Reads on at another address, on the thread: in a moment, as other gateways are told at the same time. */
    public void move(InetSocketAddress to) {
        if (!to.equals(address)) {
            address = to;
            failed = 0;
            Stream old = stream;
            thread.executeAfter(() -> {
                if (!closed && stream == old && old != null) {
                    old.end();
                    stream = new Stream();
                }
            }, 1 + (long) (FIRST_MS * chance.nextDouble()), TimeUnit.MILLISECONDS);
        }
    }

    @Override
    public void follow(boolean on) {
        // The coordinator pushes to all that read.
    }

    @Override
    public void fetch() {
        if (stream != null && !closed) {
            stream.end();
            stream = new Stream();
        }
    }

    /** Stops. */
    public void close() {
        closed = true;
        if (stream != null) {
            stream.end();
        }
    }

    /** Takes what the coordinator has told by now, as that waits unread while the loop does something else. */
    public void readNow() {
        if (stream != null && stream.duplex != null) {
            stream.duplex.readNow();
        }
    }

    private void broke() {
        if (!closed) {
            double pause = failed == 0 ? FIRST_MS * chance.nextDouble()
                : Math.min(AGAIN_MOST_MS, AGAIN_MS << Math.min(failed, 4)) * (0.5 + chance.nextDouble() / 2);
            failed++;
            Stream old = stream;
            thread.executeAfter(() -> {
                if (!closed && stream == old) {
                    InetSocketAddress now = old.duplex == null ? told.get() : null;
                    address = now == null ? address : now;
                    stream = new Stream();
                }
            }, 1 + (long) pause, TimeUnit.MILLISECONDS);
        }
    }

    /**
     * Takes an event if none before it is missing. One that can't be taken is asked for anew, as what follows it may rest
     * on it; what stays unreadable is taken as far as it can be read, as a gateway must not go deaf.
     *
     * @return whether the stream is to be read on
     */
    private boolean event(String text) {
        try {
            ListVersion version = Change.read(text, cells, kinds);
            boolean gap = version.version() > last + 1 && !version.whole() && !gapsAreUsual;
            if (gap && anew("numbers " + (last + 1) + " to " + (version.version() - 1) + " are missing")) {
                return false;
            }
            gapsAreUsual |= gap;
            take(version);
        } catch (Change.Refused e) {
            if (anew(e.getMessage())) {
                return false;
            }
            Change.readable(text, cells, kinds, log).ifPresent(this::take);
        }
        return true;
    }

    private void take(ListVersion version) {
        if (version.version() > last) {
            last = version.version();
            log.accept("list " + last + (version.whole() ? ", whole: " : ": ") + version.entries().size() + " hosts");
            taker.accept(version);
        }
    }

    private boolean anew(String why) {
        stuck = stuckAt == last ? stuck + 1 : 1;
        stuckAt = last;
        log.accept("an event of the coordinator after number " + last + " is refused: " + why);
        return stuck <= MOST_ANEW;
    }

    /** One connection to the coordinator. */
    private final class Stream implements Duplex.Taker {
        private final EventReader events = new EventReader(MOST_EVENT, this::event);
        private final HttpStream http = new HttpStream(body -> {
            brought = true;
            events.take(body);
        });
        private final IoFuture<StreamConnection> connecting;
        private Duplex duplex;
        private long heardAt = System.nanoTime();
        private long openedAt;
        /** Something came behind the head. */
        private boolean brought;
        private boolean answered;
        private boolean over;

        private Stream() {
            connecting = thread.openStreamConnection(address, this::opened, Duplex.CONNECT_OPTIONS);
            connecting.addNotifier((future, nothing) -> {
                if (future.getStatus() == IoFuture.Status.FAILED) {
                    thread.execute(this::broken);
                }
            }, null);
            look(CONNECT_MS);
        }

        private long maxQuietMillis() {
            return brought ? SILENT_MS : answered ? NOTHING_MS : NO_ANSWER_MS;
        }

        /** What is unread, or has come up unseen, on a busy loop is no silence: the sockets are polled first. */
        private void look(long in) {
            thread.executeAfter(() -> polls.afterNext(() -> {
                if (!over && duplex != null) {
                    duplex.readNow(); // What waits unread on a late loop is no silence.
                }
                if (over) {
                    return;
                }
                long quiet = (System.nanoTime() - heardAt) / 1_000_000;
                long most = maxQuietMillis();
                if (duplex == null || quiet >= most) {
                    broken();
                } else {
                    look(most - quiet + 1);
                }
            }), in, TimeUnit.MILLISECONDS);
        }

        private void opened(StreamConnection connection) {
            if (over) {
                IoUtils.safeClose(connection);
                return;
            }
            heardAt = openedAt = System.nanoTime();
            log.accept("the list is read at " + address + " after " + last);
            duplex = new Duplex(connection, buffer, MOST_QUEUED, this);
            duplex.start();
            duplex.write(("GET /v2/stream HTTP/1.1\r\nHost: " + address.getHostString() + ":" + address.getPort()
                + "\r\nAccept: text/event-stream\r\nLast-Event-ID: " + last + "\r\n\r\n").getBytes(StandardCharsets.UTF_8));
        }

        private void event(String text) {
            if (!over && !StreamFollower.this.event(text)) {
                broken();
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
            failed = heardAt - openedAt > WELL_MS * 1_000_000 ? 0 : failed;
            try {
                http.take(data);
            } catch (HttpStream.Unreadable e) {
                log.accept("the coordinator's answer is refused: " + e.getMessage());
                broken();
                return;
            }
            if (http.over()) {
                broken();
            } else if (http.body() && !answered) {
                answered = true;
                thread.executeAfter(() -> polls.afterNext(() -> {
                    if (!over) {
                        current();
                    }
                }), TOLD_MS, TimeUnit.MILLISECONDS);
            }
        }

        @Override
        public void closed() {
            broken();
        }
    }
}
