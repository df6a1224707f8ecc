package cypressvalve.run;

import cypressvalve.admission.Gate;
import cypressvalve.config.BadSettings;
import cypressvalve.config.PlatformSettings;
import cypressvalve.diagnostics.EventKind;
import cypressvalve.diagnostics.EventLog;
import cypressvalve.diagnostics.RequestInvariants;
import cypressvalve.fleet.membership.ListVersion;
import cypressvalve.fleet.stream.Change;
import cypressvalve.fleet.stream.HostIds;
import cypressvalve.fleet.stream.StreamFollower;
import cypressvalve.front.signal.FrontLimits;
import cypressvalve.front.signal.SignalFront;
import cypressvalve.front.signal.Titles;
import cypressvalve.host.AttemptGuard;
import cypressvalve.host.HostLimits;
import cypressvalve.host.rtsp.RtspHostClient;
import cypressvalve.net.PollCycles;
import cypressvalve.session.Clock;
import cypressvalve.session.Session;
import cypressvalve.session.SessionCore;
import cypressvalve.session.XnioLoop;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.random.RandomGeneratorFactory;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.StreamConnection;
import org.xnio.Xnio;
import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;
import org.xnio.channels.AcceptingChannel;

/** One gateway of the platform put together: one I/O thread runs the core, its front, its list and its media hosts. */
public final class PlatformNode {
    private static final long SECOND = 1_000_000_000L;
    private static final int BUFFER = 16 * 1024;
    private static final long SWEEP_MS = 250;
    /** Often enough to see in time that a process gets little of a core. */
    private static final long SHUTDOWN_LOOK_MS = 10;
    /** A start waits so long for the coordinator's first answer: it may be down, and nobody is served meanwhile. */
    private static final long LIST_WAIT = 2_500_000_000L;
    /** Sweeps from one line of counts to the next: ten seconds. */
    private static final int COUNTS_EVERY = Integer.getInteger("counts", 40);
    /** Parts of the descriptors: viewers hold a third at most, others that connect need room beside them. */
    private static final double VIEWERS_PART = 0.5;
    /** Media hosts' part; the rest is the coordinator's, files' and spare. */
    private static final double HOSTS_PART = 0.3;
    private static final int MOST_TO_A_HOST = 4;
    /** Requests that wait for their answer, and sessions: far over what the platform sends, under what memory holds. */
    private static final int MOST_OPEN = 400;
    private static final int MOST_SESSIONS = 10_000;
    /** The heap for each session that may count in the decisions; half as many more may be held. */
    private static final long HEAP_BYTES_A_SESSION = 8_192;
    /** A loop on a part of a core is stopped now and then for a few whole periods of its quota. */
    private static final long LATE = 400_000_000L;
    /** What is left in write queues at the very end gets so long. */
    private static final long LAST_WORDS = 200_000_000L;
    /** Where no descriptor is left for a connection, the next is taken so much later: the listener would be told at once. */
    private static final long NO_DESCRIPTOR_MS = 100;
    private static final long COMPLAIN_EVERY = 10 * SECOND;

    /** Events kept for the time after a failure: the last seconds of a busy gateway. */
    private static final int EVENTS_KEPT = 2048;
    /** Events written to the log as this process ends on its own. */
    private static final int EVENTS_WRITTEN = 64;
    /** For looking into a failure: each event goes to the log at once. */
    private static final boolean LIVE_EVENTS = Boolean.getBoolean("cypressvalve.events");

    private final PlatformSettings settings;
    private final XnioWorker worker;
    private final XnioIoThread thread;
    private final PollCycles polls;
    private final SessionCore core;
    private final RtspHostClient client;
    private final SignalFront front;
    private final StreamFollower follower;
    private final Consumer<String> log;
    private final ShutdownSchedule shutdown;
    private final Counts counts = new Counts();
    private final EventLog events;
    private final RequestInvariants invariants;
    private int sweeps;
    private boolean ending;
    private long complainedAt = Long.MIN_VALUE / 2;
    private AcceptingChannel<StreamConnection> server;

    /**
     * Makes a gateway that does not listen yet.
     *
     * @param coordinator where the coordinator is said to be by now, null if that can't be read: guards against a start
     *     that read its configuration just before it was replaced, and against a word of it that never came, as to a
     *     process that was started with that signal ignored
     * @param log takes lines for the operator
     * @param onFailure told once, on the loop, if its decisions fail
     */
    public PlatformNode(PlatformSettings settings, Supplier<InetSocketAddress> coordinator, Consumer<String> log,
        Consumer<Throwable> onFailure) {
        this.settings = settings;
        this.log = log;
        shutdown = ShutdownSchedule.of(settings.longestDeadline());
        events = new EventLog(EVENTS_KEPT, LIVE_EVENTS ? log : null);
        try {
            worker = Xnio.getInstance().createWorker(OptionMap.builder().set(Options.WORKER_NAME, "gateway")
                .set(Options.WORKER_IO_THREADS, 1).set(Options.WORKER_TASK_CORE_THREADS, 1)
                .set(Options.WORKER_TASK_MAX_THREADS, 1).set(Options.STACK_SIZE, 512L * 1024)
                .set(Options.THREAD_DAEMON, true).getMap());
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
        thread = worker.getIoThread();
        polls = new PollCycles(thread);
        ByteBuffer buffer = ByteBuffer.allocateDirect(BUFFER);
        int hosts = Math.max(1, settings.control().cells);
        int toOne = (int) Math.max(1, Math.min(MOST_TO_A_HOST, settings.sockets() * HOSTS_PART / hosts / 2));
        invariants = new RequestInvariants(events);
        LaterNotes notes = new LaterNotes();
        client = new RtspHostClient(polls, new HostLimits(settings.connectTimeout(),
            settings.connectTimeout(), 0, toOne), settings.idle(), settings.streams(),
            Math.max(1, (int) (settings.sockets() * HOSTS_PART) - RtspHostClient.MAX_ENDING), buffer, settings.control().mayProbe, new Guard(), notes, events);
        follower = new StreamFollower(polls, buffer, settings.coordinator(), settings.known().path("index").asLong(),
            settings.control().cells, settings.control().places.keySet(),
            RandomGeneratorFactory.of("L64X128MixRandom").create(settings.seed() ^ 1), coordinator,
            version -> this.listed(version), line -> {
                log.accept(line);
                events.record(EventKind.DISCOVERY, line);
            });
        Clock clock = Clock.anchored();
        long heap = Runtime.getRuntime().maxMemory();
        int mostSessions = (int) Math.min(MOST_SESSIONS, heap / HEAP_BYTES_A_SESSION);
        core = new SessionCore(new Titles(settings.shares()), settings.control(), settings.seed(), clock,
            new XnioLoop(polls), client, follower, mostSessions, new Gate.Limits(MOST_OPEN, LATE), counts,
            cause -> {
                events.writeTo(log, EVENTS_KEPT);
                onFailure.accept(cause);
            });
        notes.core = core;
        front = new SignalFront(core, settings.control(), HostIds::of, FrontLimits.ofHeap((int) (settings.sockets() * VIEWERS_PART), MOST_OPEN, heap), buffer,
            thread::execute, polls::afterNext, events, invariants);
    }

    /** An attempt leaves once all that may speak against it has been read: its client's word, and the list's. */
    private final class Guard implements AttemptGuard {
        @Override
        public boolean readBefore(String request) {
            boolean clientRead = front.readClientOf(request);
            follower.readNow();
            return clientRead;
        }

        @Override
        public boolean maySend(String request, long host) {
            return invariants.maySend(request, host, core.serving(host));
        }

        @Override
        public boolean isOpen(String request) {
            return invariants.isOpen(request);
        }

        @Override
        public void sent(String request, long host) {
            invariants.sent(request, host);
            front.attemptSent(request);
        }

        @Override
        public void over(String request) {
            invariants.over(request);
        }

        @Override
        public void hostDecided(long host, long unknownFor) {
            invariants.hostDecided(host, unknownFor);
        }
    }

    private void listed(ListVersion version) {
        core.listed(version.entries(), version.whole());
    }

    /** Takes in what is known, follows the coordinator and listens; throws BadSettings if what is known can't be read. */
    public void start() throws IOException {
        List<ListVersion> known;
        try {
            known = Change.known(settings.known(), settings.control().cells, settings.control().places.keySet());
        } catch (Change.Refused e) {
            throw new BadSettings(List.of("known." + e.getMessage()));
        }
        // What the coordinator has told since the configuration was written is known before the first request comes.
        CountDownLatch current = new CountDownLatch(1);
        thread.execute(() -> {
            core.start();
            known.forEach(this::listed);
            follower.start(current::countDown);
        });
        long begun = System.nanoTime();
        WarmUp.run(settings, known);
        await(current, begun + LIST_WAIT - System.nanoTime());
        thread.execute(() -> {
            front.ready(!ending);
            sweepLater();
        });
        server = worker.createStreamConnectionServer(settings.listen(), this::accept,
            OptionMap.builder().set(Options.BACKLOG, 1024).set(Options.REUSE_ADDRESSES, true).set(Options.TCP_NODELAY, true)
                .getMap());
        server.resumeAccepts();
    }

    private static void await(CountDownLatch latch, long most) {
        try {
            latch.await(most, TimeUnit.NANOSECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void accept(AcceptingChannel<? extends StreamConnection> server) {
        try {
            for (StreamConnection c = server.accept(); c != null; c = server.accept()) {
                front.accept(c);
            }
        } catch (IOException e) {
            long now = System.nanoTime();
            if (now - complainedAt > COMPLAIN_EVERY) {
                complainedAt = now;
                log.accept("a connection could not be taken: " + e);
            }
            server.suspendAccepts();
            thread.executeAfter(server::resumeAccepts, NO_DESCRIPTOR_MS, TimeUnit.MILLISECONDS);
        }
    }

    private void sweepLater() {
        thread.executeAfter(() -> {
            front.sweep();
            if (++sweeps % COUNTS_EVERY == 0) {
                log.accept("playing " + core.held(Session.State.PLAYING) + " opening " + core.held(Session.State.OPENING)
                    + " viewers' connections " + front.connections() + " hosts' " + client.connections() + " "
                    + client.connectionsLine() + " " + counts.line(polls.longestMillis()) + " invariants violated " + invariants.counts());
            }
            sweepLater();
        }, SWEEP_MS, TimeUnit.MILLISECONDS);
    }

    /** The port it listens on. */
    public int port() {
        return server.getLocalAddress(java.net.InetSocketAddress.class).getPort();
    }

    /** Stops at once, with no word to anybody. */
    public void kill() {
        IoUtils.safeClose(server);
        thread.execute(() -> {
            core.close();
            front.close();
            follower.close();
            client.close();
            polls.close();
        });
        worker.shutdown();
    }

    /** Runs a task on the loop; for tests, which hold the loop up by it. */
    void onLoop(Runnable task) {
        thread.execute(task);
    }

    /** The configuration was replaced: the list is read on where it says now. */
    public void reload(PlatformSettings fresh) {
        thread.execute(() -> follower.move(fresh.coordinator()));
    }

    /**
     * Fails tests from now on, takes requests as long as the platform sends them, lets what is open be answered and what
     * plays play on, then runs the task once, whatever else is said meanwhile.
     */
    public void drain(Runnable done) {
        thread.execute(() -> {
            if (!ending) {
                ending = true;
                events.record(EventKind.PROCESS, "shutdown begins");
                front.ready(false);
                drained(core.clock().now(), done);
            }
        });
    }

    private void drained(long begun, Runnable done) {
        long due = core.clock().now() + TimeUnit.MILLISECONDS.toNanos(SHUTDOWN_LOOK_MS);
        thread.executeAfter(() -> {
            long since = core.clock().now() - begun;
            long late = core.clock().now() - due;
            if (core.healthy() && shutdown.refuses(since, late)) {
                events.record(EventKind.PROCESS, "new requests are refused from now on");
                core.drain(() -> { });
                core.answerBy(begun + shutdown.answersBy());
            }
            if (shutdown.closesUnused(since, late)) {
                front.closeIdle(since >= shutdown.closesAfter());
            }
            boolean tellsNobody = shutdown.tellsNobody(since, front.connections());
            if (tellsNobody) {
                client.stopListening();
            }
            boolean busy = core.held(Session.State.OPENING) > 0 || !tellsNobody && !front.flushed() || client.owesEndings();
            if (shutdown.mayEnd(since, busy, core.held(Session.State.PLAYING) > 0, front.connections())) {
                lastWords(done);
            } else {
                drained(begun, done);
            }
        }, SHUTDOWN_LOOK_MS, TimeUnit.MILLISECONDS);
    }

    /** What has come unread is refused, and nothing is left in a write queue: a process that ends takes it along. */
    private void lastWords(Runnable done) {
        events.record(EventKind.PROCESS, "connections are closed; opening " + core.held(Session.State.OPENING) + ", playing "
            + core.held(Session.State.PLAYING));
        if (server != null) {
            accept(server);
            IoUtils.safeClose(server);
        }
        front.finish();
        lastWords(core.clock().now() + LAST_WORDS, done);
    }

    private void lastWords(long until, Runnable done) {
        if (front.connections() == 0 && front.allEnded() || core.clock().now() >= until) {
            invariants.ending();
            if (!invariants.counts().isEmpty()) {
                log.accept("invariants violated " + invariants.counts());
            }
            if (!LIVE_EVENTS) {
                events.writeTo(log, EVENTS_WRITTEN);
            }
            done.run();
        } else {
            thread.executeAfter(() -> lastWords(until, done), 5, TimeUnit.MILLISECONDS);
        }
    }
}
