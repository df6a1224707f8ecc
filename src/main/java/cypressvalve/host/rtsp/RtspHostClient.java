package cypressvalve.host.rtsp;

import cypressvalve.admission.SharedLimit;
import cypressvalve.diagnostics.EventKind;
import cypressvalve.diagnostics.EventLog;
import cypressvalve.host.AttemptGuard;
import cypressvalve.host.Carried;
import cypressvalve.host.HostAddress;
import cypressvalve.host.HostClient;
import cypressvalve.host.HostLimits;
import cypressvalve.host.LoadReport;
import cypressvalve.host.SetUpOrder;
import cypressvalve.host.answer.AnswerJudge;
import cypressvalve.model.Verdict;
import cypressvalve.net.Duplex;
import cypressvalve.net.PollCycles;
import cypressvalve.net.Timer;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.stream.Stream;
import org.xnio.IoFuture;
import org.xnio.IoUtils;
import org.xnio.StreamConnection;
import org.xnio.XnioIoThread;

/**
 * Media hosts over RTSP as docs/platform.md has it. Connections belong to a host's id, not to its address. After any
 * byte that can't be read a connection is closed, which gives up what is open on it; what plays belongs to none.
 */
public final class RtspHostClient implements HostClient {
    private static final int SET_UP = Rtsp.SET_UP;
    private static final int TEARDOWN = 2;
    /** How the end of a session is known to be read, as events tell it. */
    private static final String ACKNOWLEDGED = "acknowledged";
    private static final String ANSWERED_BEHIND = "answered behind it";
    private static final int OPTIONS = 3;
    private static final int NORMAL_CLEARING = 16;
    private static final int WITHDRAWN = 31;
    private static final int MAX_QUEUED_BYTES = 256 * 1024;
    /** What waits to be written to all hosts gets this part of the heap. */
    private static final int QUEUED_HEAP_PART = 8;
    private static final long SWEEP_MS = 250;
    /** A connection of no use is still read for so long after its last byte: what ended is said on it. */
    private static final long RETIRED_GRACE = ConnectionBudget.END_TIMEOUT;
    /** Part of the hosts' idle time after which we close first: a set-up must not cross their close. */
    private static final double IDLE_SHARE = 0.7;
    /**
     * A host that the list says has gone gets so long for its last words; then what it carried is over, whoever answers at
     * its address: a connection opened between its death and the list's word of it may have reached another.
     */
    private static final long GONE_GRACE = 1_500_000_000L;
    /** A host that has gone from the list may come back: what ends its sessions is kept for so long. */
    private static final long RETURN_AWAITED = 60_000_000_000L;
    /** What still comes on a connection that can't be read any more, before its end is no longer awaited. */
    private static final int MAX_DISCARDED_BYTES = 64 * 1024;
    /**
     * A connection on which a host has shown nothing since an attempt was written is reset once the attempt's request has ended and
     * the cancel is so long ago: what waits on its way would begin the attempt for a client that has gone, which the protocol allows
     * for 0.1 s. Where hosts may not be tested, silence says little: only if nothing else is open on it.
     */
    private static final long ABORT_AFTER = 70_000_000L;
    /** Connections whose end by the host is awaited, beyond those that may be held. */
    public static final int MAX_ENDING = ConnectionBudget.MAX_ENDING;
    /** A connection whose host has not answered its first attempt is taken after all others. */
    private static final int AWAITS_LIFE_LOAD = 1_000;
    private static final long NEVER = EndRepeats.NEVER;
    /** To a host that carries sessions, and whose process has taken none of so many connections for a while, set-ups open no more. */
    private static final int MAX_SILENT_CONNECTIONS = 2;
    /** The same, however short the while: a host that lives takes some of so many in a crowd. */
    private static final int MAX_UNACCEPTED_CONNECTIONS = 8;
    /** A host that runs answers within this. */
    private static final long UNANSWERED = 1_000_000_000L;
    /** Connections on which a host says nothing are tested once it has had a newer one for so long on which it speaks. */
    private static final long SILENT_BESIDE_NEW = 2_000_000_000L;
    private static final String DIED = "refused, and no connection is up: its process has died";
    /** Where something plays, a connection that came up is kept for so long: its host says on it what ended without one. */
    private static final long LISTENED_AT_LEAST = 250_000_000L;

    private final XnioIoThread thread;
    private final PollCycles polls;
    private final HostLimits limits;
    private final Notes notes;
    private final ByteBuffer buffer;
    private final long idle;
    private final int streams;
    private final EventLog events;
    private final AttemptGuard guard;
    /** Whether hosts may be tested, which they have to answer. */
    private final boolean mayTest;
    private final AnswerJudge judge = new AnswerJudge();
    private final SharedLimit<Duplex> queuedTogether = new SharedLimit<>(Runtime.getRuntime().maxMemory() / QUEUED_HEAP_PART);
    /** Attempts that were given up and are not known to be over. */
    private final Set<Attempt> unproven = new LinkedHashSet<>();
    /** Pools of hosts that have another address by now, until their connections are closed. */
    private final List<ConnectionPool> replaced = new ArrayList<>();
    private long sweptAt = System.nanoTime();
    /** Connections begun so far; numbers them in the event log. */
    private long begun;
    private final ConnectionBudget<HostConnection> budget;
    /** Closes by reason since they were told last. */
    private final Map<CloseReason, Integer> closes = new EnumMap<>(CloseReason.class);
    /** The longest time from the begin of a connection to when it was seen to be up, in nanoseconds, since it was told last. */
    private long longestConnect;
    /** By host, as long as it has connections or is followed. */
    private final Map<Long, ConnectionPool> pools = new LinkedHashMap<>();
    private long probes;
    /** Whether anybody can be told of what hosts say. */
    private boolean listening = true;
    private boolean closed;

    /**
     * @param polls of the thread that all of it runs on
     * @param limits mostIdle is how many connections each host is given at most
     * @param idle nanoseconds after which hosts close a connection that carries nothing
     * @param streams set-ups that one connection may have open
     * @param maxConnections connections to all hosts together, beside {@link #MAX_ENDING} that end
     * @param buffer what is read into, shared by the thread's connections
     * @param mayTest whether hosts may be tested
     * @param guard judges each attempt right before it leaves
     * @param events takes what happens to connections and attempts
     */
    public RtspHostClient(PollCycles polls, HostLimits limits, long idle, int streams, int maxConnections,
        ByteBuffer buffer, boolean mayTest, AttemptGuard guard, Notes notes, EventLog events) {
        this.polls = polls;
        thread = polls.thread();
        this.limits = limits;
        this.idle = idle;
        this.streams = Math.max(1, streams);
        budget = new ConnectionBudget<>(maxConnections);
        this.buffer = buffer;
        this.notes = notes;
        this.events = events;
        this.mayTest = mayTest;
        this.guard = guard;
        sweepLater();
    }

    private void sweepLater() {
        after(TimeUnit.MILLISECONDS.toNanos(SWEEP_MS), () -> {
            if (!closed) {
                sweep();
                sweepLater();
            }
        });
    }

    private void sweep() {
        long now = System.nanoTime();
        if (now - sweptAt > 2 * TimeUnit.MILLISECONDS.toNanos(SWEEP_MS)) {
            readAll(); // On a late loop the signs of life that are looked for may have come long ago.
        }
        sweptAt = now;
        List.copyOf(unproven).stream().filter(attempt -> !guard.isOpen(attempt.order.playback()))
            .forEach(Attempt::requestOver);
        List.copyOf(pools.values()).stream().sorted(Comparator.comparingLong(pool -> pool.connectedAt)).forEach(ConnectionPool::sweep);
        List.copyOf(replaced).forEach(ConnectionPool::sweep);
    }

    private void readAll() {
        pools.values().stream().flatMap(pool -> pool.connections.stream()).filter(connection -> connection.life.hasComeUp()).toList()
            .forEach(connection -> connection.duplex.readNow());
    }

    /** Connections held to all hosts. */
    public int connections() {
        return budget.held();
    }

    /** Whether the end of a session waits for a connection to its host. */
    public boolean owesEndings() {
        return Stream.concat(pools.values().stream(), replaced.stream()).anyMatch(pool -> !pool.gone && pool.outbound.owesEndings());
    }

    /**
     * Nobody can be told of ends any more. Connections are closed once nothing is owed to their hosts on them, so that these say what ends from
     * now on to whoever comes next; what is read until then is not acknowledged.
     */
    public void stopListening() {
        listening = false;
        for (ConnectionPool pool : List.copyOf(pools.values())) {
            pool.followed = false;
            List.copyOf(pool.connections).forEach(HostConnection::closeIfNothingIsOwed);
        }
    }

    /** For the log: how many may be held, how long one took to come up at most, and why they were given up since this was asked for last. */
    public String connectionsLine() {
        String line = "of " + budget.maxConnections() + " up within " + TimeUnit.NANOSECONDS.toMillis(longestConnect) + " ms closes " + closes;
        longestConnect = 0;
        closes.clear();
        return line;
    }

    /** Whether one more connection may be held; for it the longest idle one is given up, first where nothing plays. */
    private boolean makeRoom(ConnectionBudget.Purpose purpose) {
        if (budget.hasRoom()) {
            return true;
        }
        if (endLeastNeeded(purpose)) {
            return true;
        }
        Optional<HostConnection> closable = budget.closable(purpose, System.nanoTime());
        closable.ifPresent(HostConnection::closeUnended);
        return closable.isPresent() && (budget.hasRoom() || endLeastNeeded(purpose));
    }

    private boolean endLeastNeeded(ConnectionBudget.Purpose purpose) {
        Optional<HostConnection> least = budget.mayEndOneMore() ? budget.leastNeeded(purpose) : Optional.empty();
        least.ifPresent(connection -> {
            connection.end(CloseReason.ROOM);
            connection.pool.repeats.closedForRoom(System.nanoTime());
        });
        return least.isPresent();
    }

    private ConnectionPool pool(HostAddress host) {
        ConnectionPool pool = pools.get(host.id());
        if (pool == null || !pool.address.equals(host)) {
            ConnectionPool old = pool;
            pool = new ConnectionPool(host);
            pools.put(host.id(), pool);
            if (old != null) {
                pool.followed = old.followed;
                pool.gone = old.gone;
                pool.goneAt = old.goneAt;
                old.retire();
            }
        }
        return pool;
    }

    private static String id(String session) {
        int dot = session.lastIndexOf('.');
        return dot < 0 ? session : session.substring(0, dot);
    }

    @Override
    public Call setUp(HostAddress host, SetUpOrder order, SetUpResult result) {
        Attempt attempt = new Attempt(order, result);
        attempt.timer = after(order.maxWait(), attempt::timeUp);
        attempt.connection = pool(host).pick(order.playback());
        if (attempt.connection == null) {
            thread.execute(() -> attempt.cameBack(Verdict.NOT_SENT, LoadReport.NONE));
        } else {
            attempt.connection.add(attempt);
        }
        return attempt::withdraw;
    }

    private Timer after(long delay, Runnable task) {
        return Timer.after(polls, task, delay);
    }

    @Override
    public void setRung(HostAddress host, String session, int rung) {
        pool(host).send(new OutboundMessage(id(session), Rtsp.request("SET_PARAMETER", "session", 4, id(session), null,
            "X-Quality: " + rung), false));
    }

    @Override
    public void release(HostAddress host, String session) {
        pool(host).send(released(id(session)));
    }

    @Override
    public void move(HostAddress host, String session) {
        pool(host).send(new OutboundMessage(id(session), Rtsp.request("REDIRECT", "session", 4, id(session), null), true));
    }

    private static OutboundMessage released(String id) {
        return new OutboundMessage(id, teardown(id, NORMAL_CLEARING), true);
    }

    private static byte[] teardown(String id, int cause) {
        return cause < 0 ? Rtsp.request("TEARDOWN", "session", TEARDOWN, id, null)
            : Rtsp.request("TEARDOWN", "session", TEARDOWN, id, null, "Reason: cause=" + cause);
    }

    @Override
    public void probe(HostAddress host, ProbeResult result) {
        Probe probe = new Probe(result);
        probe.timer = after(limits.callTimeout(), probe::timeUp);
        probe.connection = pool(host).pick(probe.id);
        if (probe.connection == null) {
            thread.execute(() -> probe.done(Verdict.NOT_SENT, LoadReport.NONE));
        } else {
            probe.connection.sendProbe(probe, "load");
        }
    }

    @Override
    public void carried(HostAddress host, Consumer<List<Carried>> result) {
        result.accept(List.of());
    }

    @Override
    public void freeLinks(HostAddress host) {
        ConnectionPool pool = pools.get(host.id());
        if (pool != null) {
            List.copyOf(pool.connections).stream().filter(HostConnection::unused).skip(pool.followed ? 1 : 0)
                .forEach(connection -> connection.end(CloseReason.UNWANTED));
        }
    }

    @Override
    public void gone(HostAddress host, boolean is) {
        ConnectionPool pool = pools.get(host.id());
        if (pool != null && pool.gone != is) {
            pool.gone = is;
            pool.goneAt = System.nanoTime();
            if (pool.followed) {
                pool.checkLiveness();
            } else if (is) {
                pool.passOnWaiting();
            }
        }
    }

    @Override
    public void cancelUnsent(HostAddress host) {
        ConnectionPool pool = pools.get(host.id());
        if (pool != null) {
            for (HostConnection connection : List.copyOf(pool.connections)) {
                List.copyOf(connection.attempts.values()).forEach(Attempt::cancelUnsent);
            }
        }
    }

    @Override
    public void follow(HostAddress host, boolean on) {
        ConnectionPool pool = pool(host);
        pool.followed = on;
        pool.lifeline = new Lifeline(System.nanoTime(), limits.connectTimeout());
        pool.continuity = new ProcessContinuity(polls.seenUntil());
        if (on) {
            pool.checkLiveness();
        }
    }

    @Override
    public void close() {
        closed = true;
        pools.values().forEach(p -> List.copyOf(p.connections).forEach(connection -> connection.closeChannel()));
        pools.clear();
    }

    /**
     * A test or probe on its way.
     *
     * @param position its place among what was written to the connection
     */
    private record SentTest(long position, long sentAt) { }

    /** An answer that is passed on once what follows it has shown it to be whole. */
    private record HeldAnswer(Attempt attempt, LoadReport report, byte[] description) { }

    /** Where a set-up attempt stands; it only moves downwards. */
    private enum AttemptState {
        /** No byte of it has left. */
        WAITING,
        /** Written to a connection; the host may run it. */
        SENT,
        /** Given up, or its connection was: the host may hold it still. */
        CANCELLED,
        /** Its result was reported. */
        DONE
    }

    /** A set-up attempt, from its order to its result. */
    private final class Attempt {
        private final SetUpOrder order;
        private final SetUpResult result;
        private final long until;
        private HostConnection connection;
        private Timer timer;
        /** As written; null before. */
        private byte[] sent;
        private long sentAt;
        private long cancelledAt;
        /** Its place among what was written to the connection. */
        private long position;
        private AttemptState state = AttemptState.WAITING;
        /** It waits for what its client has said behind it, which is not read yet. */
        private boolean clientUnread;
        /** What is reported of it once it is known to be over; null unless it was cancelled. */
        private Verdict cancelVerdict;

        private Attempt(SetUpOrder order, SetUpResult result) {
            this.order = order;
            this.result = result;
            until = System.nanoTime() + order.maxWait();
        }

        private byte[] message() {
            return Rtsp.request("SETUP", order.title(), SET_UP, order.playback(), order.description(),
                "X-Cos: " + order.plan(), "X-Timer-Ms: " + Math.max(1, (until - System.nanoTime()) / 1_000_000),
                "X-Quality: " + order.rung());
        }

        private boolean open() {
            return state == AttemptState.WAITING || state == AttemptState.SENT;
        }

        private void sent(byte[] message) {
            sent = message;
            sentAt = System.nanoTime();
            state = AttemptState.SENT;
        }

        private void finish(Verdict verdict) {
            state = AttemptState.DONE;
            timer.cancel();
            unproven.remove(this);
            guard.over(order.playback());
            leave();
            if (connection != null) {
                connection.proofs.forget(this);
            }
            events.record(EventKind.ATTEMPT_ENDED, order.playback(), connection == null ? EventLog.NONE : connection.number,
                connection == null ? EventLog.NONE : connection.pool.address.id(), verdict);
        }

        private void leave() {
            if (connection != null) {
                connection.attempts.remove(order.playback(), this);
                connection.held.remove(order.playback());
                connection.cancelled.remove(order.playback(), this);
                connection.endWritesIfOfNoUse();
                connection.testLifeByAttempt();
            }
        }

        /** Takes back what waits in the connection's queue, else tells the host; whether any of it can have left. */
        private boolean stop() {
            boolean left = sent != null && !connection.duplex.takeBack(sent);
            if (left) {
                connection.cancel(this);
            }
            return left;
        }

        /** Guards against a set-up that leaves after its playback's answer, as its connection comes up just then. */
        private void withdraw() {
            if (state == AttemptState.CANCELLED) {
                thread.execute(this::requestOver);
            }
            if (!open()) {
                return;
            }
            if (stop()) {
                if (mayTest) {
                    connection.proveLater(); // By its answer a host that reads is told from one that does not.
                }
                await(Verdict.WITHDRAWN);
                thread.execute(this::requestOver);
            } else {
                finishUnsent();
            }
        }

        private void finishUnsent() {
            finish(Verdict.NOT_SENT);
            thread.execute(() -> result.cameBack(Verdict.NOT_SENT, LoadReport.NONE));
        }

        /** An answer that has come but waits unread is no time-out: it is read first. */
        private void timeUp() {
            if (connection != null && connection.life.hasComeUp()) {
                connection.duplex.readNow();
            }
            if (!open()) {
                return;
            }
            if (clientUnread && sent == null) {
                cameBack(Verdict.NOT_SENT, LoadReport.NONE); // The host has nothing to do with it.
            } else if (sent == null && connection != null && connection.life.hasComeUp()) {
                result.givenUp(Verdict.TIMEOUT); // The host is there, and shows nothing: it need not have started anew.
                cameBack(Verdict.NOT_SENT, LoadReport.NONE);
            } else if (sent == null) {
                cameBack(Verdict.NO_CONNECTION, LoadReport.NONE);
            } else if (stop()) {
                // A connection on which the host said nothing since is of no use.
                if (connection.life.silentSince(until - order.maxWait())) {
                    connection.life.retire();
                }
                cancelled(Verdict.TIMEOUT);
            } else {
                cameBack(Verdict.NOT_SENT, LoadReport.NONE);
            }
        }

        private void cancelUnsent() {
            if (open() && (sent == null || connection.duplex.takeBack(sent))) {
                finishUnsent();
            }
        }

        /**
         * The connection has ended under it.
         *
         * @param byHost whether the host ended it, which gives up what is open on it
         */
        private void broken(Verdict verdict, boolean byHost) {
            if (!open()) {
                return;
            }
            if (sent == null) {
                cameBack(verdict == Verdict.BROKEN ? Verdict.NOT_SENT : verdict, LoadReport.NONE);
            } else if (connection.duplex.takeBack(sent)) {
                cameBack(Verdict.NOT_SENT, LoadReport.NONE);
            } else if (byHost) {
                cameBack(verdict, LoadReport.NONE);
            } else {
                connection.proofs.cancelled(this);
                cancelled(verdict);
            }
        }

        /** An answer came that may not be its own, or that can't be passed on: its session may stand and is ended. */
        private void answerRefused(Verdict verdict) {
            stop();
            cancelled(verdict);
        }

        /** The result is reported once the host has shown that the attempt is over, or once its request is over. */
        private void cancelled(Verdict verdict) {
            connection.proveLater();
            await(verdict);
            result.givenUp(verdict);
        }

        private void await(Verdict verdict) {
            state = AttemptState.CANCELLED;
            cancelledAt = System.nanoTime();
            timer.cancel();
            leave();
            connection.cancelled.put(order.playback(), this);
            cancelVerdict = verdict;
            unproven.add(this);
        }

        /** No attempt follows it. */
        private void requestOver() {
            if (state == AttemptState.CANCELLED) {
                provenOver();
                long left = cancelledAt + ABORT_AFTER - System.nanoTime();
                if (left > 0) {
                    connection.abortIfSilentSince(sentAt, left);
                } else {
                    connection.abortIfStillSilentSince(sentAt);
                }
            }
        }

        /** Nothing of it can be out any more, or nothing follows it. */
        private void provenOver() {
            if (state == AttemptState.CANCELLED) {
                cameBack(cancelVerdict, LoadReport.NONE);
            }
        }

        private void cameBack(Verdict verdict, LoadReport report) {
            if (state != AttemptState.DONE) {
                finish(verdict);
                result.cameBack(verdict, report);
            }
        }
    }

    /** A probe on its way. */
    private final class Probe {
        private final String id = String.format("%016x", ++probes);
        private final ProbeResult result;
        private HostConnection connection;
        private Timer timer;
        private boolean done;

        private Probe(ProbeResult result) {
            this.result = result;
        }

        /** An answer that has come but waits unread is no time-out. */
        private void timeUp() {
            boolean up = connection != null && connection.life.hasComeUp();
            if (up) {
                connection.duplex.readNow();
            }
            done(up ? Verdict.TIMEOUT : Verdict.NO_CONNECTION, LoadReport.NONE);
        }

        private void done(Verdict verdict, LoadReport report) {
            if (!done) {
                done = true;
                timer.cancel();
                if (connection != null) {
                    connection.probes.remove(id);
                }
                result.probed(verdict, report);
            }
        }
    }

    /** The connections to one media host, and what waits for one. */
    private final class ConnectionPool {
        private final HostAddress address;
        private final List<HostConnection> connections = new ArrayList<>();
        private final OutboundQueue outbound = new OutboundQueue();
        private boolean followed;
        /** The list says so: a connection to its address might reach another. */
        private boolean gone;
        private long goneAt;
        private Lifeline lifeline = new Lifeline(System.nanoTime(), limits.connectTimeout());
        private ProcessContinuity continuity = new ProcessContinuity(polls.seenUntil());
        /** When something came from the host last, on any connection. */
        private long heardAt = NEVER;
        /** When a connection came up last. */
        private long connectedAt = NEVER;
        private final EndRepeats repeats = new EndRepeats(System.nanoTime());

        private ConnectionPool(HostAddress address) {
            this.address = address;
        }

        /**
         * A connection for that set-up: the one on which an earlier attempt was given up, as on another the end of that
         * might be read after it; not one on which an earlier attempt was answered, as a second copy would pass for this
         * attempt's. Else one that carries none, else a new one, else that with the fewest; null if there is room for none.
         */
        private HostConnection pick(String id) {
            HostConnection best = null;
            for (HostConnection connection : connections) {
                if (connection.writable() && connection.history.mayAnswerCancelled(id)) {
                    return connection;
                }
                boolean usable = connection.usable() && !connection.history.mayRefuseAgain(id)
                    && (connection.life.isAccepted() || !keepsUnacceptedClean());
                if (usable && (best == null || connection.load() < best.load())) {
                    best = connection;
                }
            }
            if (keepsUnacceptedClean()) {
                return best;
            }
            if (best == null) {
                best = silentConnection();
            }
            boolean more = best == null ? mayComeAlive() : best.load() > 0 && usedConnections() < limits.mostIdle();
            return more && makeRoom(ConnectionBudget.Purpose.SEND) ? new HostConnection(this) : best;
        }

        /**
         * Whether attempts go out on no connection that the host's process may not have taken, as one of its connections was reset in its
         * silence: where it may not be tested, each that it leaves unread would cost one more, and it says its ends on the next that it takes.
         */
        private boolean keepsUnacceptedClean() {
            return !mayTest && carriesSessions() && repeats.isSilent();
        }

        /** Whether one more connection may find the host's process: where it carries sessions, each that it has not taken is kept for their ends. */
        private boolean mayComeAlive() {
            List<HostConnection> unaccepted = connections.stream().filter(connection -> !connection.life.isAccepted()).toList();
            if (!carriesSessions() || unaccepted.size() < MAX_SILENT_CONNECTIONS) {
                return true;
            }
            long now = System.nanoTime();
            boolean waitedInVain = unaccepted.stream().anyMatch(connection -> connection.mayHoldUnsaidEnds()
                && now - connection.life.upAt() > limits.connectTimeout() / 2);
            return !waitedInVain && unaccepted.size() < MAX_UNACCEPTED_CONNECTIONS;
        }

        /** A host that the list says has gone does, too, until its last words are no longer awaited. */
        private boolean carriesSessions() {
            return followed;
        }

        /** The last of those that wait for the host's process, once there are enough: one more would only wait behind them. */
        private HostConnection silentConnection() {
            List<HostConnection> silent = connections.stream()
                .filter(connection -> !connection.life.isAccepted() && connection.mayHoldUnsaidEnds()).toList();
            HostConnection last = silent.size() < MAX_SILENT_CONNECTIONS ? null : silent.get(silent.size() - 1);
            return last != null && last.takesMore() && last.attempts.size() < streams ? last : null;
        }

        private HostConnection open() {
            for (HostConnection connection : connections) {
                if (connection.life.hasComeUp() && !connection.life.isRetired()) {
                    return connection;
                }
            }
            return null;
        }

        /** Says something that wants no answer on any connection, as soon as there is one; the connection, if it is known. */
        private HostConnection send(OutboundMessage message) {
            HostConnection connection = open();
            if (connection == null && gone && message.ends()) {
                return passOn(message);
            }
            if (connection != null) {
                connection.send(message);
            } else if (!gone && outbound.add(message)) {
                if (message.ends()) {
                    events.record(EventKind.RELEASE_TO_HOST_WAITS, message.session(), EventLog.NONE, address.id(), null);
                }
                if (connections.stream().allMatch(candidate -> candidate.life.isRetired()) && makeRoom(ConnectionBudget.Purpose.SEND)) {
                    new HostConnection(this);
                }
                connection = connections.stream().filter(candidate -> !candidate.life.hasComeUp()).findFirst().orElse(null);
            } else if (message.ends()) {
                dropped(message.session(), "too many wait");
            }
            return connection;
        }

        /** To the host that has the address by now, if any: a set-up for the one that has gone may have reached it. */
        private HostConnection passOn(OutboundMessage message) {
            Optional<ConnectionPool> successor = successor();
            if (successor.isEmpty()) {
                keepForReturn(message);
            }
            return successor.map(pool -> pool.send(message)).orElse(null);
        }

        /** A host that was cut off and dropped from the list meanwhile holds its sessions still: it may be listed again. */
        private void keepForReturn(OutboundMessage message) {
            if (outbound.add(message)) {
                events.record(EventKind.RELEASE_TO_HOST_WAITS, message.session(), EventLog.NONE, address.id(), "for its host to be listed again");
            } else {
                dropped(message.session(), "too many wait");
            }
        }

        private void passOnWaiting() {
            outbound.takeEndings().forEach(this::passOn);
        }

        /** What waits for a host that has gone goes to the one that has come to its address, and after long to none. */
        private void seeToWaitingOfGone(long now) {
            if (successor().isPresent()) {
                passOnWaiting();
            } else if (now - goneAt > RETURN_AWAITED) {
                outbound.takeEndings().forEach(message -> dropped(message.session(), "the list says that its host has gone"));
            }
        }

        private void dropped(String session, String why) {
            events.record(EventKind.RELEASE_TO_HOST_DROPPED, session, EventLog.NONE, address.id(), why);
        }

        /** The host that has the address now: a set-up for the one that has gone may have reached it. */
        private Optional<ConnectionPool> successor() {
            return pools.values().stream().filter(pool -> pool != this && !pool.gone && pool.address.port() == address.port()
                && pool.address.host().equals(address.host())).findFirst();
        }

        /** The host has answered what was written then: its process has seen to what had come by then on all connections. */
        private void answered(long sentAt) {
            long now = System.nanoTime();
            connections.forEach(connection -> connection.life.hostRan(sentAt, now));
        }

        /** The host says what ended also on the next connection that is opened: so one is, where something plays. */
        private void reopen() {
            if (followed && gone) {
                checkLiveness();
            } else if (followed && repeats.dueAfterSilence(System.nanoTime()) && makeRoom(ConnectionBudget.Purpose.LISTEN)) {
                repeats.begunAfterSilence();
                new HostConnection(this);
            } else if (followed && repeats.awaited() && connections.stream().allMatch(candidate -> candidate.life.hasComeUp())
                && makeRoom(ConnectionBudget.Purpose.LISTEN)) {
                new HostConnection(this);
            }
        }

        private long usedConnections() {
            return connections.stream().filter(connection -> !connection.life.isRetired()).count();
        }

        private void checkLiveness() {
            long now = System.nanoTime();
            HostConnection connection = open();
            if (connection == null && gone) {
                connection = connections.stream().filter(candidate -> candidate.life.hasComeUp()).findFirst().orElse(null);
            }
            if (gone && now - goneAt >= GONE_GRACE) {
                lost();
                return;
            }
            boolean endedSoon = connections.stream().noneMatch(candidate -> candidate.life.givenUpFor(ConnectionBudget.SLOW_TO_END, now));
            if (connection == null && repeats.isClosedForRoom(now) && endedSoon && !budget.hasRoom()) {
                return;
            }
            switch (lifeline.step(now, connection != null, connections.stream().anyMatch(candidate -> !candidate.life.hasComeUp()))) {
                case CONNECT -> {
                    if (gone) {
                        lost(); // Whoever answers at its address now is another.
                    } else if (makeRoom(listenPurpose(now))) {
                        new HostConnection(this);
                    }
                }
                case TEST -> {
                    connection.note(EventKind.HOST_TESTED, "silent");
                    connection.sendProbe(null, "ping");
                }
                case LOST -> lost();
                default -> { }
            }
        }

        private ConnectionBudget.Purpose listenPurpose(long now) {
            if (connections.stream().anyMatch(connection -> !connection.life.isGivenUp())) {
                return ConnectionBudget.Purpose.LISTEN;
            }
            boolean forLong = connections.isEmpty() ? repeats.withoutConnectionFor(ConnectionBudget.REACH_PATIENCE, now)
                : connections.stream().allMatch(connection -> connection.life.givenUpFor(ConnectionBudget.REACH_PATIENCE, now));
            return forLong ? ConnectionBudget.Purpose.REACH_AT_LAST : ConnectionBudget.Purpose.REACH;
        }

        private void lost() {
            lost(gone ? "gone from the list" : "unreachable");
        }

        private void lost(String why) {
            followed = false;
            if (gone) {
                passOnWaiting();
            }
            lifeline = new Lifeline(System.nanoTime(), limits.connectTimeout());
            continuity = new ProcessContinuity(polls.seenUntil());
            events.record(EventKind.HOST_LOST, null, EventLog.NONE, address.id(), why);
            notes.lost(address.id());
        }

        private boolean isConnected() {
            return connections.stream().anyMatch(connection -> connection.life.isUp());
        }

        private void doubted(ProcessContinuity.Doubt doubt) {
            events.record(EventKind.HOST_DOUBTED, null, EventLog.NONE, address.id(), describe(doubt));
        }

        private String describe(ProcessContinuity.Doubt doubt) {
            return doubt.cause() + "; last known to be there " + TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - doubt.since()) + " ms ago";
        }

        private void proven(boolean settled, String how) {
            if (settled) {
                events.record(EventKind.HOST_PROVEN, null, EventLog.NONE, address.id(), how);
            }
        }

        /**
         * A connection that was up has ended at the host's side. Where it was the last, the next is opened at once: only one that is taken
         * without delay shows that the process lives on.
         *
         * @param behindThisSide whether this side had ended it before, behind which a process that lives ends it, too
         */
        private void endedByHost(HostConnection connection, boolean behindThisSide) {
            if (!followed || gone) {
                return;
            }
            long now = System.nanoTime();
            if (behindThisSide) {
                proven(continuity.heard(connection.life.upAt(), polls.seenUntil(), now), "it ended a connection of before in order");
            }
            if (isConnected() || behindThisSide && !mayConnectAtOnce(now)) {
                return;
            }
            if (continuity.lastEndedByHost(polls.seenUntil(), now)) {
                lost(DIED);
            } else if (connections.isEmpty() && mayConnectAtOnce(now)) {
                new HostConnection(this);
            }
        }

        /** Where places are scarce the one that was given up for another host's is not taken back at once. */
        private boolean mayConnectAtOnce(long now) {
            return budget.hasRoom() && !repeats.isClosedForRoom(now);
        }

        /** A connection that was up was closed at this side. */
        private void closedHere(boolean unanswered) {
            if (unanswered && !isConnected()) {
                continuity.lastClosedInSilence();
            }
        }

        /** Something of a session was read. */
        private void spokeOfSession(String session) {
            if (continuity.inDoubt()) {
                proven(continuity.spokeOfSession(notes.begunAt(address.id(), session), System.nanoTime()), "it spoke of a session of before");
            }
        }

        /** Ends what was carried by a process that is not known to be there any more, in time for its viewers. */
        private void decideDoubts(long now) {
            if (!gone) {
                doubtSilentOnes(now);
            }
            continuity.decide(now, this::isConnectedSinceBefore).ifPresent(doubt -> {
                if (doubt.cause() == ProcessContinuity.Cause.CONNECTED_LATE) { // With the others the host may have stood still meanwhile.
                    guard.hostDecided(address.id(), now - doubt.since());
                }
                events.record(EventKind.HOST_REPLACED, null, EventLog.NONE, address.id(), describe(doubt));
                notes.replaced(address.id(), doubt.boundary());
            });
        }

        private boolean isConnectedSinceBefore(long time) {
            return connections.stream().anyMatch(connection -> connection.life.isUp() && connection.life.upAt() < time);
        }

        /** Where the host speaks on a connection and on none that came up before, those are tested, and in doubt if they stay silent. */
        private void doubtSilentOnes(long now) {
            List<HostConnection> older = new ArrayList<>();
            for (HostConnection connection : connections.stream().filter(candidate -> candidate.life.isUp())
                .sorted(Comparator.comparingLong(candidate -> candidate.life.upAt())).toList()) {
                long upAt = connection.life.upAt();
                boolean olderSilent = !older.isEmpty() && older.stream().allMatch(candidate -> candidate.life.silentSince(upAt));
                if (olderSilent && connection.life.isAccepted()) {
                    doubtSilentOnes(older, upAt, now);
                    return;
                }
                older.add(connection);
            }
        }

        private void doubtSilentOnes(List<HostConnection> older, long boundary, long now) {
            if (older.stream().anyMatch(connection -> connection.life.unansweredFor(UNANSWERED, now)) && now - boundary >= UNANSWERED) {
                long since = older.stream().mapToLong(connection -> connection.life.reachedAt()).max().orElse(now);
                continuity.oldOnesAreSilent(since, boundary, now).ifPresent(this::doubted);
            } else if (mayTest && now - boundary >= SILENT_BESIDE_NEW) {
                older.stream().filter(HostConnection::mayBeTested).reduce((first, last) -> last).ifPresent(connection -> {
                    connection.note(EventKind.HOST_TESTED, "silent, a newer one is not");
                    connection.sendProbe(null, "ping");
                });
            }
        }

        private void sweep() {
            long now = System.nanoTime();
            if (followed) {
                checkLiveness();
                decideDoubts(now);
                reopen();
            } else if (gone && !outbound.isEmpty()) {
                seeToWaitingOfGone(now);
            } else if (outbound.retryDue(now) && connections.stream().allMatch(connection -> connection.life.isRetired())
                && makeRoom(ConnectionBudget.Purpose.SEND)) {
                new HostConnection(this);
            }
            for (HostConnection connection : List.copyOf(connections)) {
                connection.history.expire(now);
                connection.endIfOfNoUse(now);
                if (!listening) {
                    connection.closeIfNothingIsOwed();
                }
            }
            if (connections.isEmpty()) {
                replaced.remove(this);
            }
            if (connections.isEmpty() && !followed && outbound.isEmpty() && pools.get(address.id()) == this) {
                pools.remove(address.id());
            }
        }

        private void retire() {
            followed = false;
            replaced.add(this);
            outbound.takeEndings().forEach(message -> dropped(message.session(), "its host has another address by now"));
            connections.forEach(connection -> connection.life.retire());
            List.copyOf(connections).stream().filter(HostConnection::unused).forEach(connection -> connection.end(CloseReason.ADDRESS_REPLACED));
        }
    }

    /** One connection to a media host. */
    private final class HostConnection implements Duplex.Taker, ConnectionBudget.Held {
        private final ConnectionPool pool;
        private final long number = ++begun;
        private final Map<String, Attempt> attempts = new LinkedHashMap<>();
        private final Map<String, Probe> probes = new LinkedHashMap<>();
        /** Set-ups that were cancelled here, or with this connection, and that the host may still hold. */
        private final Map<String, Attempt> cancelled = new HashMap<>();
        /** Answers of attempts that are open, each until what follows shows it to be whole. */
        private final Map<String, HeldAnswer> held = new LinkedHashMap<>();
        private final CancelProofs<Attempt> proofs = new CancelProofs<>();
        /** Tests and probes by id: each is answered once the host has read what stands before it. */
        private final Map<String, SentTest> tests = new HashMap<>();
        private boolean proofDue;
        private int discarded;
        private final AnswerHistory history = new AnswerHistory();
        private final UnreadMessages unread = new UnreadMessages();
        private final List<byte[]> waiting = new ArrayList<>();
        private final Rtsp.Reader reader = new Rtsp.Reader();
        private final IoFuture<StreamConnection> connecting;
        private final Timer timer;
        private Duplex duplex;
        private final ConnectionLife life = new ConnectionLife(System.nanoTime());
        /** An attempt was sent on it. */
        private boolean carriedAttempt;

        private HostConnection(ConnectionPool pool) {
            this.pool = pool;
            pool.connections.add(this);
            budget.opened(this);
            pool.lifeline.began(System.nanoTime());
            note(EventKind.HOST_CONNECTING, null);
            connecting = thread.openStreamConnection(
                new InetSocketAddress(pool.address.host(), pool.address.port()), this::opened,
                Duplex.CONNECT_OPTIONS);
            timer = after(limits.connectTimeout(), this::connectTimeUp);
            connecting.addNotifier((future, nothing) -> {
                if (future.getStatus() == IoFuture.Status.FAILED) {
                    CloseReason why = CloseReason.ofFailedConnect(future.getException());
                    thread.execute(() -> unreached(why));
                }
            }, null);
        }

        private void opened(StreamConnection channel) {
            timer.cancel();
            if (life.isClosed() || closed) {
                IoUtils.safeClose(channel);
                return;
            }
            boolean connected = pool.isConnected();
            life.cameUp(System.nanoTime());
            longestConnect = Math.max(longestConnect, life.upAt() - life.begunAt());
            pool.connectedAt = life.upAt();
            note(EventKind.HOST_CONNECTED, null);
            duplex = new Duplex(channel, buffer, MAX_QUEUED_BYTES, queuedTogether, this);
            duplex.start();
            boolean unanswered = pool.connections.stream().anyMatch(candidate -> candidate.life.unansweredFor(UNANSWERED, life.upAt()));
            pool.lifeline.connected(System.nanoTime());
            if (pool.followed && !pool.gone) {
                pool.continuity.cameUp(life.begunAt(), life.upAt(), connected).ifPresent(pool::doubted);
            }
            pool.repeats.connected(life.begunAt());
            pool.outbound.connected();
            while (!pool.outbound.isEmpty()) {
                send(pool.outbound.poll());
            }
            waiting.forEach(this::write);
            waiting.clear();
            if (!attempts.isEmpty() || mayTest && pool.followed && (unanswered || pool.continuity.inDoubt())) {
                testLife();
            }
            pool.reopen();
        }

        /** Whether a test on it would show something that is not being shown already. */
        private boolean mayBeTested() {
            return writable() && life.state() == ConnectionLife.State.UP && !life.unansweredFor(0, System.nanoTime());
        }

        /**
         * Where the host may not be tested, the first attempt is the test: as long as it is alone on the connection, that can be reset
         * once its request has ended.
         */
        private void testLife() {
            if (!mayTest) {
                testLifeByAttempt();
            } else if (!life.isLifeTested()) {
                life.lifeTested(System.nanoTime());
                sendProbe(null, "ping");
            }
        }

        private void testLifeByAttempt() {
            if (!mayTest && life.hasComeUp() && !life.isAccepted() && !carriedAttempt && !attempts.isEmpty()) {
                sendInNextTurn(attempts.values().iterator().next());
            }
        }

        /** Whether an attempt was sent to see whether the host shows life, which it has not. */
        private boolean awaitsLife() {
            return !mayTest && !life.isAccepted() && carriedAttempt;
        }

        /** The host has shown that it reads the connection: attempts may leave. */
        private void alive() {
            List.copyOf(attempts.values()).forEach(this::sendInNextTurn);
        }

        /** It may have come up long ago, and its host may have said something on it: only a poll of the sockets tells. */
        private void connectTimeUp() {
            polls.afterNext(() -> unreached(CloseReason.NOT_UP_IN_TIME));
        }

        private void unreached(CloseReason why) {
            if (life.hasComeUp() || life.isClosed()) {
                return;
            }
            life.close();
            noteClosed(why);
            if (!why.neverTaken()) {
                pool.repeats.ended(System.nanoTime()); // The host may have taken it all the same, and said something on it.
            }
            timer.cancel();
            connecting.cancel();
            removeFromPool();
            pool.lifeline.unreached(System.nanoTime());
            ended(Verdict.NO_CONNECTION, false);
            if (pool.followed && !pool.gone && why == CloseReason.REFUSED && pool.continuity.refused(System.nanoTime(), pool.isConnected())) {
                pool.lost(DIED);
            } else if (pool.followed) {
                if (why == CloseReason.NOT_UP_IN_TIME) {
                    pool.continuity.unreached(System.nanoTime());
                }
                pool.checkLiveness();
            } else if (pool.connections.stream().allMatch(connection -> connection.life.isRetired())) {
                if (pool.gone) {
                    pool.passOnWaiting();
                } else {
                    pool.outbound.unreached(System.nanoTime());
                }
            }
        }

        private boolean usable() {
            return takesMore() && attempts.size() < streams && life.mayComeAlive(limits.connectTimeout() / 2, System.nanoTime());
        }

        private boolean takesMore() {
            return !life.isRetired() && !life.isClosed();
        }

        @Override
        public ConnectionLife life() {
            return life;
        }

        @Override
        public boolean hostCarriesSessions() {
            return pool.carriesSessions();
        }

        /**
         * Whether the host, which carries sessions, has said nothing on any connection since this one was up and heard last. Its process
         * may stand still and say on this one, once it goes on, what ended meanwhile: it does not know what this side gave up.
         */
        @Override
        public boolean mayHoldUnsaidEnds() {
            return life.hasComeUp() && !life.isClosed() && pool.carriesSessions() && !pool.gone && pool.heardAt <= life.reachedAt();
        }

        @Override
        public boolean hostIsSilent() {
            return pool.repeats.isSilent();
        }

        @Override
        public boolean isOnlyOneOfHost() {
            return pool.connections.stream().noneMatch(connection -> connection != this && connection.life.hasComeUp() && !connection.life.isRetired());
        }

        @Override
        public boolean hostHasUnendedFor(long nanos) {
            long now = System.nanoTime();
            return pool.connections.stream().anyMatch(connection -> connection.life.givenUpFor(nanos, now));
        }

        @Override
        public boolean hostHasQueued() {
            return pool.connections.stream().anyMatch(connection -> connection.life.hasComeUp() && !connection.life.isAccepted());
        }

        private int load() {
            return attempts.size() + probes.size() + (awaitsLife() ? AWAITS_LIFE_LOAD : 0);
        }

        private boolean unused() {
            return attempts.isEmpty() && probes.isEmpty() && !proofs.waiting();
        }

        @Override
        public boolean mayMakeRoom() {
            return life.hasComeUp() && unused() && !life.isGivenUp() && duplex.flushed();
        }

        @Override
        public boolean listenedLongEnough() {
            return !pool.followed || life.isAccepted() || System.nanoTime() - life.upAt() >= LISTENED_AT_LEAST;
        }

        private boolean writable() {
            return !life.isClosed() && (duplex == null || duplex.isOpen());
        }

        /** Behind the cancels of this turn goes what the host has to answer or to end. */
        private void proveLater() {
            if (!mayTest) {
                life.retire();
            }
            if (!proofDue) {
                proofDue = true;
                thread.execute(this::prove);
            }
        }

        private void prove() {
            proofDue = false;
            if (proofs.waiting() && writable() && life.hasComeUp() && mayTest) {
                sendProbe(null, "ping");
            }
            endWritesIfOfNoUse();
        }

        private void abortIfSilentSince(long sentAt, long delay) {
            after(delay, () -> abortIfStillSilentSince(sentAt));
        }

        private void abortIfStillSilentSince(long sentAt) {
            if (!life.isClosed() && !closed) {
                duplex.readNow();
            }
            if (life.isClosed() || closed || !life.silentSince(sentAt)) {
                return;
            }
            if (!mayTest && attempts.values().stream().anyMatch(attempt -> attempt.sent != null)) {
                abortIfSilentSince(sentAt, ABORT_AFTER); // Looked at again once those have ended.
                return;
            }
            pool.repeats.givenUpInSilence();
            close(CloseReason.CANCEL_UNREAD, duplex::abort);
            pool.closedHere(true);
            pool.repeats.ended(System.nanoTime());
            oweCancels();
            resendUnread();
            ended(Verdict.TIMEOUT, false);
            pool.reopen();
        }

        /** The host ends a connection whose stream has ended, once it has read it: that is proof, too. */
        private void endWritesIfOfNoUse() {
            boolean nothingOpen = held.size() == attempts.size() && probes.isEmpty();
            boolean awaitsProof = proofs.waiting() || !held.isEmpty();
            if (life.isRetired() && life.hasComeUp() && !life.isClosed() && nothingOpen && awaitsProof && !proofDue) {
                life.halfClose();
                duplex.endWrites();
            }
        }

        private void add(Attempt attempt) {
            attempts.put(attempt.order.playback(), attempt);
            if (life.isAccepted()) {
                sendInNextTurn(attempt);
            } else if (life.hasComeUp()) {
                testLife();
            }
        }

        /**
         * Sends it from a task of its own, outside the handling of what led to it, as the guard reads connections. That is no later
         * turn of the loop: due timers and tasks run until there are none, before anything is read.
         */
        private void sendInNextTurn(Attempt attempt) {
            thread.execute(() -> {
                if (attempt.state == AttemptState.WAITING && !life.isClosed() && !closed) {
                    sendIfAllowed(attempt);
                }
            });
        }

        /** What the guard reads may end the attempt, or the connection. */
        private void sendIfAllowed(Attempt attempt) {
            attempt.clientUnread = !guard.readBefore(attempt.order.playback());
            if (attempt.clientUnread) {
                polls.afterNext(() -> sendInNextTurn(attempt));
                return;
            }
            if (attempt.state != AttemptState.WAITING || closed || awaitsLife()) {
                return;
            }
            if (writable() && guard.maySend(attempt.order.playback(), pool.address.id())) {
                sendNow(attempt);
            } else {
                attempt.finishUnsent();
            }
        }

        private void sendNow(Attempt attempt) {
            guard.sent(attempt.order.playback(), pool.address.id());
            carriedAttempt = true;
            life.asked(System.nanoTime());
            attempt.position = proofs.written();
            attempt.sent(attempt.message());
            write(attempt.sent);
            events.record(EventKind.ATTEMPT_SENT, attempt.order.playback(), number, pool.address.id(),
                duplex.flushed() ? null : "queued");
        }

        private void sendProbe(Probe probe, String what) {
            String id = probe == null ? String.format("%016x", ++RtspHostClient.this.probes) : probe.id;
            byte[] message = Rtsp.request("OPTIONS", what, OPTIONS, id, null);
            if (probe != null) {
                probes.put(id, probe);
            }
            tests.put(id, new SentTest(proofs.written(), System.nanoTime()));
            life.asked(System.nanoTime());
            if (life.hasComeUp()) {
                write(message);
            } else {
                waiting.add(message);
            }
        }

        private void cancel(Attempt attempt) {
            String id = attempt.order.playback();
            history.cancelled(id, System.nanoTime());
            unread.cancelled(id, proofs.cancelled(attempt));
            write(teardown(id, held.containsKey(id) ? NORMAL_CLEARING : -1));
            events.record(EventKind.ATTEMPT_CANCELLED, id, number, pool.address.id(), duplex.flushed() ? null : "queued");
        }

        private void send(OutboundMessage message) {
            String givenUp = message.ends() ? unread.ending(message, proofs.written()) : null;
            if (givenUp != null) {
                pool.dropped(givenUp, "too many unread");
            }
            write(message.bytes());
            if (message.ends()) {
                events.record(EventKind.RELEASE_TO_HOST_WRITTEN, message.session(), number, pool.address.id(),
                    duplex.flushed() ? null : "queued");
            }
        }

        private void noteReleasesRead(List<String> sessions, String how) {
            sessions.forEach(session -> events.record(EventKind.RELEASE_TO_HOST_READ, session, number, pool.address.id(), how));
        }

        private void sendOnAny(OutboundMessage message) {
            if (writable()) {
                send(message);
            } else {
                pool.send(message);
            }
        }

        private void removeFromPool() {
            if (budget.closed(this)) {
                pool.connections.remove(this);
                pool.repeats.over(System.nanoTime());
            }
        }

        /** Looks whether it is of use still; where not, it is given up. */
        private void endIfOfNoUse(long now) {
            if (mayHoldUnsaidEnds()) {
                return;
            }
            if (life.hasComeUp() && !life.mayComeAlive(2 * limits.connectTimeout(), now)) {
                life.retire();
            }
            long unusedFor = now - life.usedAt();
            boolean spare = life.isRetired() ? unusedFor > RETIRED_GRACE : !pool.followed && unusedFor > idle * IDLE_SHARE;
            if (life.hasComeUp() && unused() && spare) {
                end(life.isRetired() ? CloseReason.RETIRED : CloseReason.IDLE);
            }
            if (life.givenUpFor(RETIRED_GRACE, now) && !pool.carriesSessions()) {
                closeUnended();
            }
        }

        /** Gives up an unused connection: it is read until its host has ended it, too. One that is not up yet is closed. */
        private void end(CloseReason why) {
            if (!life.hasComeUp()) {
                close(why, this::closeChannel);
                pool.repeats.ended(System.nanoTime()); // The host may have taken it all the same.
            } else if (!life.isGivenUp()) {
                closes.merge(why, 1, Integer::sum);
                note(EventKind.HOST_CLOSING, why);
                life.giveUp(System.nanoTime());
                duplex.endWrites();
                budget.givenUp(this);
            }
        }

        /** Its descriptor is free at once; what came on it is still taken. */
        private void closeUnended() {
            noteClosed(CloseReason.NOT_ENDED_BY_HOST);
            if (life.givenUpInSilenceFor(RETIRED_GRACE, System.nanoTime())) {
                pool.repeats.givenUpInSilence();
            }
            removeFromPool();
            pool.closedHere(life.unansweredFor(0, System.nanoTime()));
            duplex.closeAndTakeRest(() -> {
                life.close();
                if (!duplex.endedByPeer() || duplex.resetByPeer()) {
                    pool.repeats.ended(System.nanoTime());
                }
                resendUnread();
                pool.reopen();
            });
        }

        /**
         * What ends sessions and may not have been read goes out again on another connection: a host that hears it twice does
         * nothing. So does the end of an attempt that was given up here, as its answer may have crossed that: further attempts of
         * it then go out on that connection, behind its end.
         */
        private void resendUnread() {
            unread.takeEndings().forEach(pool::send);
            for (String session : unread.takeCancels()) {
                if (pool.connections.stream().noneMatch(connection -> connection != this && connection.attempts.containsKey(session))) {
                    HostConnection connection = pool.send(released(session));
                    if (connection != null) {
                        connection.history.cancelled(session, System.nanoTime());
                    }
                } else {
                    pool.dropped(session, "a further attempt of it is out there");
                }
            }
        }

        /** Set-ups that have left and whose answers may be lost with the connection: their sessions may stand. */
        private void oweCancels() {
            attempts.values().stream().filter(attempt -> attempt.sent != null && !duplex.waits(attempt.sent))
                .forEach(attempt -> unread.owesCancel(attempt.order.playback(), proofs.written()));
        }

        private void write(byte[] message) {
            life.used(System.nanoTime());
            duplex.write(message);
        }

        private void closeIfNothingIsOwed() {
            if (life.isUp() && attempts.isEmpty() && !unread.owesEnds() && duplex.flushed()) {
                close(CloseReason.SHUTDOWN, this::closeChannel);
            }
        }

        private void closeChannel() {
            life.close();
            if (duplex != null) {
                duplex.close();
            } else {
                connecting.cancel();
            }
        }

        private void close(CloseReason why, Runnable how) {
            noteClosed(why);
            life.close();
            how.run();
            removeFromPool();
        }

        private void noteClosed(CloseReason why) {
            closes.merge(why, 1, Integer::sum);
            note(EventKind.HOST_CLOSED, why);
        }

        private void note(EventKind kind, Object detail) {
            events.record(kind, null, number, pool.address.id(), detail);
        }

        private void noteRelease(String session, Object detail) {
            events.record(EventKind.HOST_RELEASE_READ, session, number, pool.address.id(), detail);
        }

        /** All that is open on the connection ends so; what was sent may have run. */
        private void ended(Verdict verdict, boolean byHost) {
            List.copyOf(attempts.values()).forEach(attempt -> attempt.broken(verdict, byHost));
            List.copyOf(probes.values()).forEach(probe -> probe.done(verdict, LoadReport.NONE));
            if (byHost) {
                proofs.ended().forEach(Attempt::provenOver);
            }
        }

        @Override
        public void closed() {
            boolean lost = life.mayHaveLostWords(duplex.endedByPeer(), duplex.resetByPeer());
            ConnectionLife.State before = life.state();
            close(duplex.endedByPeer() ? CloseReason.BY_HOST : CloseReason.WRITE_QUEUE_FULL, () -> { });
            boolean endedHereFirst = before == ConnectionLife.State.HALF_CLOSED && !duplex.resetByPeer();
            if (lost) {
                pool.repeats.ended(System.nanoTime());
            }
            judgeHeldAtEnd(before);
            if (!duplex.endedByPeer() || duplex.resetByPeer() || reader.within()) {
                oweCancels();
            }
            resendUnread();
            ended(Verdict.BROKEN, duplex.endedByPeer());
            if (duplex.endedByPeer()) {
                pool.endedByHost(this, endedHereFirst);
            }
            pool.reopen();
        }

        @Override
        public void bytes(ByteBuffer data) {
            if (life.state() == ConnectionLife.State.DISCARDING) {
                discard(data.remaining());
                return;
            }
            boolean first = !life.isAccepted();
            boolean firstWord = pool.followed && first && pool.heardAt < life.upAt() && pool.repeats.isLongOpenSince(life.upAt());
            life.heard(System.nanoTime());
            pool.heardAt = life.heardAt();
            pool.lifeline.heard(pool.heardAt);
            pool.proven(pool.continuity.heard(life.upAt(), polls.seenUntil(), pool.heardAt), "it spoke on a connection of before");
            pool.repeats.heard(pool.heardAt, firstWord ? life.upAt() : NEVER);
            if (first) {
                alive();
            }
            try {
                Rtsp message = reader.next(data);
                while (message != null && !life.isClosed()) {
                    take(message);
                    message = reader.next(data);
                }
            } catch (Rtsp.Unreadable e) {
                unreadable(e.getMessage());
            }
        }

        /** Nothing more is said on it; attempts that were open are over once the host has ended it, too. */
        private void unreadable(String why) {
            life.discard();
            pool.repeats.ended(System.nanoTime());
            List.copyOf(held.values()).forEach(answer -> answer.attempt.answerRefused(Verdict.BROKEN));
            oweCancels();
            resendUnread();
            ended(Verdict.BROKEN, false);
            note(EventKind.HOST_UNREADABLE, why);
            if (proofs.waiting()) {
                duplex.endWrites();
            } else {
                close(CloseReason.UNREADABLE, this::closeChannel);
            }
            pool.reopen();
        }

        /** What the host says here is lost, and said once more on the next connection that is opened: one is owed for it. */
        private void discard(int bytes) {
            discarded += bytes;
            pool.repeats.ended(System.nanoTime());
            if (discarded > MAX_DISCARDED_BYTES || !proofs.waiting()) {
                close(CloseReason.UNREADABLE_FOR_LONG, this::closeChannel);
            }
        }

        private void take(Rtsp message) throws Rtsp.Unreadable {
            for (HeldAnswer answer : List.copyOf(held.values())) {
                judge(answer, AnswerJudge.Proof.FOLLOWED);
            }
            if (message.status() >= 200) {
                answered(message);
            } else if (message.status() == 0) {
                received(message);
            }
        }

        /** Nothing of an answer is passed on before it is shown to be whole and an answer to what was offered. */
        private void judge(HeldAnswer answer, AnswerJudge.Proof proof) throws Rtsp.Unreadable {
            Attempt attempt = answer.attempt;
            AnswerJudge.Judgement judgement = judge.judge(attempt.order.description(), answer.description, proof);
            switch (judgement.decision()) {
                case ACCEPT -> accept(answer);
                case AWAIT_PROOF -> hold(answer);
                case REJECT -> {
                    events.record(EventKind.ANSWER_REJECTED, attempt.order.playback(), number, pool.address.id(), judgement.why());
                    attempt.answerRefused(Verdict.BROKEN);
                    throw new Rtsp.Unreadable(judgement.why());
                }
            }
        }

        private void accept(HeldAnswer answer) {
            Attempt attempt = answer.attempt;
            String session = attempt.order.playback();
            attempt.finish(Verdict.OK);
            if (takeCancelled(session)) {
                history.ambiguous(session, life.heardAt());
            }
            attempt.result.started(answer.report, answer.description);
        }

        /** The host answers a test behind its answer; where it may not be tested, it ends a connection that has ended on this side. */
        private void hold(HeldAnswer answer) {
            Attempt attempt = answer.attempt;
            held.put(attempt.order.playback(), answer);
            events.record(EventKind.ANSWER_HELD, attempt.order.playback(), number, pool.address.id(), null);
            if (!mayTest) {
                life.retire();
            }
            thread.execute(() -> proveHeld(answer));
        }

        /** What has come by now is read first: a test behind the host's own close would reset the connection. */
        private void proveHeld(HeldAnswer answer) {
            if (!life.isClosed() && !closed) {
                duplex.readNow();
            }
            boolean awaited = !life.isClosed() && !closed && held.get(answer.attempt.order.playback()) == answer;
            if (awaited && mayTest && writable()) {
                sendProbe(null, "ping");
            } else if (awaited) {
                endWritesIfOfNoUse();
            }
        }

        /** Sessions of those that are not accepted may stand, and are ended on another connection. */
        private void judgeHeldAtEnd(ConnectionLife.State before) {
            boolean inOrder = duplex.endedByPeer() && !duplex.resetByPeer() && !reader.within()
                && before != ConnectionLife.State.DISCARDING;
            AnswerJudge.Proof proof = before == ConnectionLife.State.HALF_CLOSED ? AnswerJudge.Proof.FOLLOWED : AnswerJudge.Proof.CLOSED_BEHIND;
            for (HeldAnswer answer : List.copyOf(held.values())) {
                String session = answer.attempt.order.playback();
                if (inOrder && judge.judge(answer.attempt.order.description(), answer.description, proof).decision()
                    == AnswerJudge.Decision.ACCEPT) {
                    accept(answer);
                } else {
                    events.record(EventKind.ANSWER_REJECTED, session, number, pool.address.id(), "its connection has ended");
                    unread.owesCancel(session, proofs.written());
                }
            }
        }

        private void answered(Rtsp message) throws Rtsp.Unreadable {
            LoadReport report = Occupancy.read(message.field("x-occupancy"));
            Probe probe = probes.get(message.session());
            Attempt attempt = attempts.get(message.session());
            if (message.sequence() == OPTIONS) {
                SentTest test = tests.remove(message.session());
                if (test != null) {
                    provenRead(test.position, ANSWERED_BEHIND);
                    pool.answered(test.sentAt);
                }
                if (probe != null) {
                    probe.done(message.status() == 200 ? Verdict.OK : Verdict.ERROR, report);
                }
            } else if (message.sequence() == SET_UP && attempt == null) {
                answeredLate(message);
            } else if (message.sequence() == TEARDOWN) {
                acknowledged(message.session());
            } else if (message.sequence() == SET_UP && message.status() == 200) {
                proveBy(attempt);
                pool.repeats.begun(attempt.sentAt, pool.followed);
                judge(new HeldAnswer(attempt, report, message.body()), AnswerJudge.Proof.NONE);
            } else if (message.sequence() == SET_UP) {
                history.refused(message.session(), life.heardAt());
                if (history.mayAnswerCancelled(message.session())) {
                    attempt.answerRefused(Verdict.ERROR); // It may be the late answer to the attempt before, which proves nothing of this one.
                    return;
                }
                proveBy(attempt);
                attempt.cameBack(switch (message.status()) {
                    case 453 -> Verdict.FULL;
                    case 454 -> Verdict.NOT_SENT;
                    case 504 -> Verdict.BROKEN;
                    default -> Verdict.ERROR;
                }, report);
            }
        }

        /** An answer that can only be that attempt's own shows that all before it was read. */
        private void proveBy(Attempt attempt) {
            if (!history.mayAnswerCancelled(attempt.order.playback())) {
                provenRead(attempt.position, ANSWERED_BEHIND);
                pool.answered(attempt.sentAt);
            }
        }

        /** The host has read a TEARDOWN, and so all before it. */
        private void acknowledged(String session) {
            long position = unread.acknowledged(session);
            if (position != UnreadMessages.NONE) {
                provenRead(position + 1, ACKNOWLEDGED);
            }
        }

        /** The host has read what was written before that position. */
        private void provenRead(long position, String how) {
            noteReleasesRead(unread.readUpTo(position), how);
            proofs.answered(position).forEach(Attempt::provenOver);
        }

        /** An answer to what was cancelled here, or a second one. */
        private void answeredLate(Rtsp message) {
            String session = message.session();
            if (message.status() == 200) {
                if (takeCancelled(session)) {
                    history.refused(session, life.heardAt());
                    sendOnAny(released(session));
                }
                return;
            }
            boolean ofOneBefore = history.mayConcernOneBefore(session);
            if (takeCancelled(session)) {
                history.refused(session, life.heardAt());
            }
            if (history.takeAmbiguous(session)) {
                // The answer that it plays was the one to the attempt before: this refuses the attempt that counted as playing.
                sendOnAny(released(session));
                notes.ended(pool.address.id(), session, Verdict.BROKEN);
            }
            if (!ofOneBefore) {
                cancelRead(session);
            }
        }

        /** Whether the answer to a cancelled set-up was due, which has come: what is owed for that is told by the answer. */
        private boolean takeCancelled(String session) {
            boolean unreadCancel = unread.forgetCancel(session);
            return history.takeCancelled(session) || unreadCancel;
        }

        private void cancelRead(String session) {
            Attempt attempt = cancelled.get(session);
            if (attempt != null) {
                attempt.provenOver();
            }
        }

        private void received(Rtsp message) {
            long host = pool.address.id();
            pool.spokeOfSession(message.session());
            switch (message.method()) {
                case "TEARDOWN" -> {
                    if (!listening) {
                        noteRelease(message.session(), "left to the next process");
                        return;
                    }
                    write(Rtsp.response(200, "OK", Math.max(0, message.sequence()), message.session()));
                    if (!history.mayConcernOneBefore(message.session())) {
                        cancelRead(message.session());
                    }
                    Attempt attempt = attempts.get(message.session());
                    Verdict verdict = switch (message.cause()) {
                        case NORMAL_CLEARING -> Verdict.OK;
                        case WITHDRAWN -> Verdict.WITHDRAWN;
                        default -> Verdict.BROKEN;
                    };
                    if (attempt != null && history.mayAnswerCancelled(message.session())) {
                        noteRelease(message.session(), "of this attempt, or of the session of one before");
                        attempt.answerRefused(Verdict.BROKEN);
                    } else if (attempt != null) {
                        noteRelease(message.session(), "ends the attempt");
                        attempt.cameBack(Verdict.BROKEN, Occupancy.read(message.field("x-occupancy")));
                    } else {
                        noteRelease(message.session(), notes.ended(host, message.session(), verdict));
                    }
                }
                case "ANNOUNCE" -> HostNote.tell(message, host, notes);
                case "OPTIONS" -> write(Rtsp.response(200, "OK", OPTIONS, message.session()));
                default -> { }
            }
        }
    }
}
