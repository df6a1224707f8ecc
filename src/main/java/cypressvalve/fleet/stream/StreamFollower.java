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
    /** Calls in a row that were late make the next wait longer, up to so many times as long. */
    private static final int MOST_PATIENCE = 4;
    /** A call that is late is kept so long beside the next: its answer may still come, where every one takes that long. */
    private static final long OVERDUE_MS = 30_000;
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
    /** The call in force. */
    private Stream stream;
    /** The oldest call that is late and not given up; null if there is none. */
    private Stream overdue;
    /** A call follows soon, as the one in force is late or over. */
    private boolean callDue;
    private int patience = 1;
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
            patience = 1;
            thread.executeAfter(() -> {
                if (!closed && stream != null && !stream.to.equals(address)) {
                    callAnew();
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
            callAnew();
        }
    }

    private void callAnew() {
        endAll();
        stream = new Stream();
    }

    private void endAll() {
        callDue = false;
        endOverdue();
        if (stream != null) {
            stream.end();
        }
    }

    private void endOverdue() {
        if (overdue != null) {
            overdue.end();
            overdue = null;
        }
    }

    /** Stops. */
    public void close() {
        closed = true;
        endAll();
    }

    /** Takes what the coordinator has told by now, as that waits unread while the loop does something else. */
    public void readNow() {
        if (overdue != null) {
            overdue.readNow();
        }
        if (stream != null) {
            stream.readNow();
        }
    }

    /** A call has ended without being asked to. */
    private void broke(Stream which) {
        which.end();
        if (which == overdue && which != stream) {
            overdue = null;
        } else if (which == stream) {
            overdue = which == overdue ? null : overdue;
            callLater();
        }
    }

    /**
     * A call is late. The next is made beside it: where every answer takes as long as this one, no call would be heard that is given up
     * for the next. Of those that are late the oldest is kept, as it has waited the longest.
     */
    private void late(Stream which) {
        if (which != stream || callDue) {
            return; // It waits on, beside the one that was made for it.
        }
        log.accept("the coordinator's answer is late at " + which.to);
        if (overdue == null) {
            overdue = which;
            thread.executeAfter(() -> giveUp(which), OVERDUE_MS, TimeUnit.MILLISECONDS);
        } else {
            which.end();
        }
        patience = Math.min(MOST_PATIENCE, 2 * patience);
        callLater();
    }

    private void giveUp(Stream which) {
        if (which == overdue && which != stream) {
            endOverdue();
        }
    }

    /** A call has brought something: it is the one in force. */
    private void heard(Stream which) {
        if (which == overdue) {
            overdue = null;
            if (stream != which) {
                stream.end();
                stream = which;
            }
            callDue = false;
        } else if (which == stream && which.brought) {
            endOverdue();
        }
    }

    private void callLater() {
        if (closed || callDue) {
            return;
        }
        callDue = true;
        double pause = failed == 0 ? FIRST_MS * chance.nextDouble()
            : Math.min(AGAIN_MOST_MS, AGAIN_MS << Math.min(failed, 4)) * (0.5 + chance.nextDouble() / 2);
        failed++;
        Stream old = stream;
        thread.executeAfter(() -> {
            if (!closed && callDue && stream == old) {
                callDue = false;
                call();
            }
        }, 1 + (long) pause, TimeUnit.MILLISECONDS);
    }

    private void call() {
        InetSocketAddress now = stream.duplex == null ? told.get() : null;
        address = now == null ? address : now;
        if (overdue != null && !overdue.to.equals(address)) {
            endOverdue();
        }
        stream = new Stream();
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
        private final InetSocketAddress to = address;
        private final IoFuture<StreamConnection> connecting;
        private Duplex duplex;
        private long heardAt = System.nanoTime();
        private long openedAt;
        /** Something came behind the head. */
        private boolean brought;
        private boolean answered;
        private boolean over;

        private Stream() {
            connecting = thread.openStreamConnection(to, this::opened, Duplex.CONNECT_OPTIONS);
            connecting.addNotifier((future, nothing) -> {
                if (future.getStatus() == IoFuture.Status.FAILED) {
                    thread.execute(this::broken);
                }
            }, null);
            look(CONNECT_MS * patience);
        }

        private long maxQuietMillis() {
            return brought ? SILENT_MS : patience * (answered ? NOTHING_MS : duplex != null ? NO_ANSWER_MS : CONNECT_MS);
        }

        private void readNow() {
            if (!over && duplex != null) {
                duplex.readNow();
            }
        }

        /** What is unread, or has come up unseen, on a busy loop is no silence: the sockets are polled first. */
        private void look(long in) {
            thread.executeAfter(() -> polls.afterNext(() -> {
                readNow(); // What waits unread on a late loop is no silence.
                if (over) {
                    return;
                }
                long quiet = (System.nanoTime() - heardAt) / 1_000_000;
                long most = maxQuietMillis();
                if (quiet >= most) {
                    late(this);
                }
                look(quiet >= most ? most : most - quiet + 1);
            }), in, TimeUnit.MILLISECONDS);
        }

        private void opened(StreamConnection connection) {
            if (over) {
                IoUtils.safeClose(connection);
                return;
            }
            heardAt = openedAt = System.nanoTime();
            log.accept("the list is read at " + to + " after " + last);
            duplex = new Duplex(connection, buffer, MOST_QUEUED, this);
            duplex.start();
            duplex.write(("GET /v2/stream HTTP/1.1\r\nHost: " + to.getHostString() + ":" + to.getPort()
                + "\r\nAccept: text/event-stream\r\nLast-Event-ID: " + last + "\r\n\r\n").getBytes(StandardCharsets.UTF_8));
        }

        private void event(String text) {
            if (!over && !StreamFollower.this.event(text)) {
                broken();
            }
        }

        private void broken() {
            if (!over) {
                broke(this);
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
            boolean well = heardAt - openedAt > WELL_MS * 1_000_000;
            failed = well ? 0 : failed;
            patience = well && brought ? 1 : patience;
            try {
                http.take(data);
            } catch (HttpStream.Unreadable e) {
                log.accept("the coordinator's answer is refused: " + e.getMessage());
                broken();
                return;
            }
            if (!over) {
                heard(this);
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
