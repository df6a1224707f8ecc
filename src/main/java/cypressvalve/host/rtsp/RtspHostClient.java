package cypressvalve.host.rtsp;

import cypressvalve.diagnostics.EventKind;
import cypressvalve.diagnostics.EventLog;
import cypressvalve.host.Carried;
import cypressvalve.host.HostAddress;
import cypressvalve.host.HostClient;
import cypressvalve.host.HostLimits;
import cypressvalve.host.LoadReport;
import cypressvalve.host.SetUpOrder;
import cypressvalve.model.Verdict;
import cypressvalve.net.Duplex;
import cypressvalve.net.Timer;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.xnio.IoFuture;
import org.xnio.IoUtils;
import org.xnio.StreamConnection;
import org.xnio.XnioIoThread;

/**
 * Media hosts over RTSP as docs/platform.md has it. Connections belong to a host's id, not to its address. After any
 * byte that can't be read a connection is closed, which gives up what is open on it; what plays belongs to none.
 */
public final class RtspHostClient implements HostClient {
    private static final int SET_UP = 1;
    private static final int TEARDOWN = 2;
    private static final int OPTIONS = 3;
    private static final int USUAL = 16;
    private static final int WITHDRAWN = 31;
    private static final int MOST_QUEUED = 256 * 1024;
    /** Words for a host that wait for a connection: more than it can carry sessions. */
    private static final int MOST_WORDS = 512;
    private static final long SWEEP_MS = 250;
    /** A line of no use is still read for so long after its last byte: what ended is said on it. */
    private static final long RETIRED = 1_000_000_000L;
    /** Part of the hosts' idle time after which we close first: a set-up must not cross their close. */
    private static final double IDLE_PART = 0.7;
    /** What was written so long before its line broke was read: whoever reads at all has done so by then. */
    private static final long UNREAD = 2_000_000_000L;
    /** A try's late or second answer is known by its line for so long; hosts are told how long we wait, which is less. */
    private static final long PAST = 30_000_000_000L;
    /**
     * A host that the list says has gone gets so long for its last words; then what it carried is over, whoever answers at
     * its address: a line opened between its death and the list's word of it may have reached another.
     */
    private static final long LAST_WORDS = 1_500_000_000L;
    /**
     * How long a host has to read that an attempt was cancelled, where it does not acknowledge that: its result is not
     * reported before, as a further attempt elsewhere might overtake the cancel on its way.
     */
    private static final long CANCEL_READ_WITHIN = 150_000_000L;
    /** A line closed for want of room, where something plays, is opened again after this: ends must be heard in time. */
    private static final long AGAIN = 3_000_000_000L;

    private final XnioIoThread thread;
    private final HostLimits limits;
    private final Notes notes;
    private final ByteBuffer buffer;
    private final long idle;
    private final int streams;
    private final int mostLines;
    private final EventLog events;
    /** Connections begun so far; numbers them in the event log. */
    private long begun;
    /** Lines held to all hosts, those that are not up yet counted. */
    private int held;
    /** By host, as long as it has connections or is followed. */
    private final Map<Long, Pool> pools = new LinkedHashMap<>();
    private long tests;
    private boolean closed;

    /**
     * @param limits mostIdle is how many connections each host is given at most
     * @param idle nanoseconds after which hosts close a connection that carries nothing
     * @param streams set-ups that one connection may have open
     * @param mostLines connections to all hosts together
     * @param buffer what is read into, shared by the thread's connections
     * @param events takes what happens to connections and attempts
     */
    public RtspHostClient(XnioIoThread thread, HostLimits limits, long idle, int streams, int mostLines, ByteBuffer buffer,
        Notes notes, EventLog events) {
        this.thread = thread;
        this.limits = limits;
        this.idle = idle;
        this.streams = Math.max(1, streams);
        this.mostLines = mostLines;
        this.buffer = buffer;
        this.notes = notes;
        this.events = events;
        sweepLater();
    }

    private void sweepLater() {
        thread.executeAfter(() -> {
            if (!closed) {
                List.copyOf(pools.values()).forEach(Pool::sweep);
                sweepLater();
            }
        }, SWEEP_MS, TimeUnit.MILLISECONDS);
    }

    /** Connections held to all hosts. */
    public int connections() {
        return held;
    }

    /** Whether one more line may be held; for it the longest idle one is closed, first where nothing plays. */
    private boolean room() {
        if (held < mostLines) {
            return true;
        }
        Line least = pools.values().stream().flatMap(p -> p.lines.stream())
            .filter(l -> l.up && l.unused() && l.duplex.flushed())
            .min(Comparator.comparing((Line l) -> l.pool.followed).thenComparingLong(l -> l.usedAt)).orElse(null);
        if (least != null) {
            least.close("room for another host");
            least.pool.closedAt = System.nanoTime();
        }
        return least != null;
    }

    private Pool pool(HostAddress host) {
        Pool pool = pools.get(host.id());
        if (pool == null || !pool.address.equals(host)) {
            Pool old = pool;
            pool = new Pool(host);
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
        Try t = new Try(order, result);
        t.timer = after(order.maxWait(), t::timeUp);
        t.line = pool(host).pick(order.playback());
        if (t.line == null) {
            thread.execute(() -> t.cameBack(Verdict.NOT_SENT, LoadReport.NONE));
        } else {
            t.line.add(t);
        }
        return t::withdraw;
    }

    private Timer after(long delay, Runnable task) {
        return Timer.after(thread, task, delay);
    }

    @Override
    public void setRung(HostAddress host, String session, int rung) {
        pool(host).say(new Word(id(session), Rtsp.request("SET_PARAMETER", "session", 4, id(session), null,
            "X-Quality: " + rung), false));
    }

    @Override
    public void release(HostAddress host, String session) {
        pool(host).say(released(id(session)));
    }

    @Override
    public void move(HostAddress host, String session) {
        pool(host).say(new Word(id(session), Rtsp.request("REDIRECT", "session", 4, id(session), null), true));
    }

    private static Word released(String id) {
        return new Word(id, teardown(id, USUAL), true);
    }

    private static byte[] teardown(String id, int cause) {
        return cause < 0 ? Rtsp.request("TEARDOWN", "session", TEARDOWN, id, null)
            : Rtsp.request("TEARDOWN", "session", TEARDOWN, id, null, "Reason: cause=" + cause);
    }

    @Override
    public void probe(HostAddress host, ProbeResult result) {
        Test test = new Test(result);
        test.timer = after(limits.callTimeout(), () -> test.done(test.line == null || !test.line.up
            ? Verdict.NO_CONNECTION : Verdict.TIMEOUT, LoadReport.NONE));
        test.line = pool(host).pick(test.id);
        if (test.line == null) {
            thread.execute(() -> test.done(Verdict.NOT_SENT, LoadReport.NONE));
        } else {
            test.line.ask(test, "load");
        }
    }

    @Override
    public void carried(HostAddress host, Consumer<List<Carried>> result) {
        result.accept(List.of());
    }

    @Override
    public void freeLinks(HostAddress host) {
        Pool pool = pools.get(host.id());
        if (pool != null) {
            List.copyOf(pool.lines).stream().filter(Line::unused).skip(pool.followed ? 1 : 0)
                .forEach(l -> l.close("no longer wanted"));
        }
    }

    @Override
    public void gone(HostAddress host, boolean is) {
        Pool pool = pools.get(host.id());
        if (pool != null && pool.gone != is) {
            pool.gone = is;
            pool.goneAt = System.nanoTime();
            if (pool.followed) {
                pool.look();
            }
        }
    }

    @Override
    public void cancelUnsent(HostAddress host) {
        Pool pool = pools.get(host.id());
        if (pool != null) {
            List.copyOf(pool.lines).forEach(line -> List.copyOf(line.tries.values()).forEach(Try::cancelUnsent));
        }
    }

    @Override
    public void follow(HostAddress host, boolean on) {
        Pool pool = pool(host);
        pool.followed = on;
        pool.lifeline = new Lifeline(System.nanoTime(), limits.connectTimeout());
        if (on) {
            pool.look();
        }
    }

    @Override
    public void close() {
        closed = true;
        pools.values().forEach(p -> List.copyOf(p.lines).forEach(l -> l.duplexClose()));
        pools.clear();
    }

    /**
     * Something for a session at its host that wants no answer.
     *
     * @param ends whether it ends the session: a host that never reads it would hold the session on
     */
    private record Word(String session, byte[] bytes, boolean ends) { }

    private record Said(Word word, long at) { }

    /** Where a set-up attempt stands; it only moves downwards. */
    private enum AttemptState {
        /** No byte of it has left. */
        WAITING,
        /** Written to a connection; the host may run it. */
        SENT,
        /** Cancelled, or its connection has ended: the host may not have read that yet. */
        CANCELLED,
        /** Its result was reported. */
        DONE
    }

    /** A set-up on its way. */
    private final class Try {
        private final SetUpOrder order;
        private final SetUpResult result;
        private final long until;
        private Line line;
        private Timer timer;
        /** As written; null before. */
        private byte[] sent;
        private AttemptState state = AttemptState.WAITING;
        /** What is reported of it once it is known to be over; null unless it was cancelled. */
        private Verdict cancelVerdict;

        private Try(SetUpOrder order, SetUpResult result) {
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
            state = AttemptState.SENT;
        }

        private void finish(Verdict verdict) {
            state = AttemptState.DONE;
            timer.cancel();
            leave();
            events.record(EventKind.ATTEMPT_ENDED, order.playback(), line == null ? EventLog.NONE : line.number,
                line == null ? EventLog.NONE : line.pool.address.id(), verdict);
        }

        private void leave() {
            if (line != null) {
                line.tries.remove(order.playback(), this);
                line.cancelled.remove(order.playback(), this);
            }
        }

        /** Takes back what waits in the line's queue, else tells the host; whether any of it can have left. */
        private boolean stop() {
            boolean left = sent != null && !line.duplex.takeBack(sent);
            if (left) {
                line.gaveUp(order.playback());
            }
            return left;
        }

        /** Guards against a set-up that leaves after its playback's answer, as its connection comes up just then. */
        private void withdraw() {
            if (!open()) {
                return;
            }
            if (stop()) {
                cancelled(Verdict.WITHDRAWN);
            } else {
                finish(Verdict.NOT_SENT);
                thread.execute(() -> result.cameBack(Verdict.NOT_SENT, LoadReport.NONE));
            }
        }

        /** An answer that has come but waits unread is no time-out: it is read first. */
        private void timeUp() {
            if (line != null && line.up) {
                line.duplex.readNow();
            }
            if (!open()) {
                return;
            }
            if (sent == null) {
                cameBack(Verdict.NO_CONNECTION, LoadReport.NONE);
            } else if (stop()) {
                // A line on which the host said nothing since is of no use.
                line.retired |= line.heardAt < until - order.maxWait();
                cancelled(Verdict.TIMEOUT);
            } else {
                cameBack(Verdict.NOT_SENT, LoadReport.NONE);
            }
        }

        private void cancelUnsent() {
            if (open() && (sent == null || line.duplex.takeBack(sent))) {
                finish(Verdict.NOT_SENT);
                thread.execute(() -> result.cameBack(Verdict.NOT_SENT, LoadReport.NONE));
            }
        }

        /** The line has ended under it. */
        private void broken(Verdict verdict) {
            if (!open()) {
                return;
            }
            if (sent == null) {
                cameBack(verdict == Verdict.BROKEN ? Verdict.NOT_SENT : verdict, LoadReport.NONE);
            } else if (line.duplex.takeBack(sent)) {
                cameBack(Verdict.NOT_SENT, LoadReport.NONE);
            } else {
                cancelled(verdict);
            }
        }

        /** A refusal came that may not be its own. */
        private void unproven() {
            stop();
            cancelled(Verdict.ERROR);
        }

        /** The result is reported once the host has acknowledged the cancel, or has had the time to read it. */
        private void cancelled(Verdict verdict) {
            state = AttemptState.CANCELLED;
            timer.cancel();
            leave();
            line.cancelled.put(order.playback(), this);
            timer = after(CANCEL_READ_WITHIN, () -> cameBack(verdict, LoadReport.NONE));
            cancelVerdict = verdict;
        }

        /** The host has ended it, so the cancel is no longer awaited. */
        private void cancelRead() {
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
    private final class Test {
        private final String id = String.format("%016x", ++tests);
        private final ProbeResult result;
        private Line line;
        private Timer timer;
        private boolean done;

        private Test(ProbeResult result) {
            this.result = result;
        }

        private void done(Verdict verdict, LoadReport report) {
            if (!done) {
                done = true;
                timer.cancel();
                if (line != null) {
                    line.tests.remove(id);
                }
                result.probed(verdict, report);
            }
        }
    }

    /** What leads to one media host. */
    private final class Pool {
        private final HostAddress address;
        private final List<Line> lines = new ArrayList<>();
        private final ArrayDeque<Word> words = new ArrayDeque<>();
        private boolean followed;
        /** The list says so: a connection to its address might reach another. */
        private boolean gone;
        private long goneAt;
        /** When a line of it was closed to make room for another host's. */
        private long closedAt = Long.MIN_VALUE / 2;
        private Lifeline lifeline = new Lifeline(System.nanoTime(), limits.connectTimeout());

        private Pool(HostAddress address) {
            this.address = address;
        }

        /**
         * A line for that set-up: the one on which an earlier try was given up, as on another the end of that might be
         * read after it; not one on which an earlier try was answered, as a second copy of that answer would pass for this
         * try's. Else one that carries none, else a new one, else that with the fewest; null if there is room for none.
         */
        private Line pick(String id) {
            Line best = null;
            for (Line line : lines) {
                if (!line.over && line.gaveUp.containsKey(id)) {
                    return line;
                }
                if (line.usable() && !line.refused.containsKey(id) && (best == null || line.load() < best.load())) {
                    best = line;
                }
            }
            boolean more = best == null || best.load() > 0 && lines.size() < limits.mostIdle();
            return more && room() ? new Line(this) : best;
        }

        private Line open() {
            for (Line line : lines) {
                if (line.up && !line.retired) {
                    return line;
                }
            }
            return null;
        }

        /** Says something that wants no answer on any line, as soon as there is one; the line, if it is known. */
        private Line say(Word word) {
            Line line = open();
            if (line != null) {
                line.say(word);
            } else if (words.size() < MOST_WORDS && !gone) {
                words.add(word);
                if (lines.stream().allMatch(l -> l.retired) && room()) {
                    new Line(this);
                }
                line = lines.stream().filter(l -> !l.up).findFirst().orElse(null);
            }
            return line;
        }

        /**
         * What a host said last on a line that closed may be lost. It says what ended also on the next one opened: so
         * one is, where something plays.
         */
        private void again() {
            if (followed && gone) {
                look();
            } else if (followed && lines.size() < limits.mostIdle() && lines.stream().allMatch(l -> l.up) && room()) {
                new Line(this);
            }
        }

        private void look() {
            long now = System.nanoTime();
            Line line = open();
            if (line == null && gone) {
                line = lines.stream().filter(l -> l.up).findFirst().orElse(null);
            }
            if (gone && now - goneAt >= LAST_WORDS) {
                lost();
                return;
            }
            if (line == null && now - closedAt < AGAIN) {
                return;
            }
            switch (lifeline.step(now, line != null)) {
                case CONNECT -> {
                    if (gone) {
                        lost(); // Whoever answers at its address now is another.
                    } else if (room()) {
                        new Line(this);
                    }
                }
                case TEST -> line.ask(null, "ping");
                case LOST -> lost();
                default -> { }
            }
        }

        private void lost() {
            followed = false;
            words.clear();
            lifeline = new Lifeline(System.nanoTime(), limits.connectTimeout());
            events.record(EventKind.HOST_LOST, null, EventLog.NONE, address.id(), gone ? "gone from the list" : "unreachable");
            notes.lost(address.id());
        }

        private void sweep() {
            long now = System.nanoTime();
            if (followed) {
                look();
            }
            for (Line line : List.copyOf(lines)) {
                line.gaveUp.values().removeIf(at -> now - at > PAST);
                line.refused.values().removeIf(at -> now - at > PAST);
                line.said.removeIf(w -> now - w.at > UNREAD);
                boolean spare = line.retired ? now - line.usedAt > RETIRED : !followed && now - line.usedAt > idle * IDLE_PART;
                if (line.up && line.unused() && spare) {
                    line.close(line.retired ? "retired" : "idle");
                    again();
                }
            }
            if (lines.isEmpty() && !followed && pools.get(address.id()) == this) {
                pools.remove(address.id());
            }
        }

        private void retire() {
            followed = false;
            lines.forEach(l -> l.retired = true);
            List.copyOf(lines).stream().filter(Line::unused).forEach(l -> l.close("address replaced"));
        }
    }

    /** One connection to a media host. */
    private final class Line implements Duplex.Taker {
        private final Pool pool;
        private final long number = ++begun;
        private final Map<String, Try> tries = new LinkedHashMap<>();
        private final Map<String, Test> tests = new LinkedHashMap<>();
        /** Set-ups that were cancelled here, or with this line, and that the host may still hold. */
        private final Map<String, Try> cancelled = new HashMap<>();
        /** Set-ups given up on this line, and when: an answer may still come. */
        private final Map<String, Long> gaveUp = new HashMap<>();
        /** Set-ups that were answered here, but not to play, and when: the answer may come again. */
        private final Map<String, Long> refused = new HashMap<>();
        /** What ended sessions and left last: if the line breaks, it may not have been read. */
        private final ArrayDeque<Said> said = new ArrayDeque<>();
        private final List<byte[]> waiting = new ArrayList<>();
        private final Rtsp.Reader reader = new Rtsp.Reader();
        private final IoFuture<StreamConnection> connecting;
        private final Timer timer;
        private Duplex duplex;
        private boolean up;
        private boolean over;
        /** Nothing new goes out on it. */
        private boolean retired;
        private long usedAt = System.nanoTime();
        private long heardAt = Long.MIN_VALUE / 2;

        private Line(Pool pool) {
            this.pool = pool;
            pool.lines.add(this);
            held++;
            note(EventKind.HOST_CONNECTING, null);
            connecting = thread.openStreamConnection(
                new InetSocketAddress(pool.address.host(), pool.address.port()), this::opened,
                Duplex.CONNECT_OPTIONS);
            timer = after(limits.connectTimeout(), this::unreached);
            connecting.addNotifier((future, nothing) -> {
                if (future.getStatus() == IoFuture.Status.FAILED) {
                    thread.execute(this::unreached);
                }
            }, null);
        }

        private void opened(StreamConnection connection) {
            timer.cancel();
            if (over || closed) {
                IoUtils.safeClose(connection);
                return;
            }
            up = true;
            note(EventKind.HOST_CONNECTED, null);
            duplex = new Duplex(connection, buffer, MOST_QUEUED, this);
            duplex.start();
            pool.lifeline.connected(System.nanoTime());
            while (!pool.words.isEmpty()) {
                say(pool.words.poll());
            }
            waiting.forEach(this::write);
            waiting.clear();
            List.copyOf(tries.values()).forEach(this::send);
        }

        private void unreached() {
            if (up || over) {
                return;
            }
            over = true;
            note(EventKind.HOST_CLOSED, "never came up");
            timer.cancel();
            connecting.cancel();
            dropped();
            pool.lifeline.unreached(System.nanoTime());
            ended(Verdict.NO_CONNECTION);
            if (pool.followed) {
                pool.look();
            } else if (pool.lines.isEmpty()) {
                pool.words.clear();
            }
        }

        private boolean usable() {
            return !retired && !over && tries.size() < streams
                && (up || System.nanoTime() - usedAt < limits.connectTimeout() / 2);
        }

        private int load() {
            return tries.size() + tests.size();
        }

        private boolean unused() {
            return tries.isEmpty() && tests.isEmpty();
        }

        private void add(Try t) {
            tries.put(t.order.playback(), t);
            if (up) {
                send(t);
            }
        }

        /**
         * Sends it with the loop's next turn, if it was not withdrawn by then: what led to it may have been read before
         * its client's cancel that came earlier, as connections are read in any order.
         */
        private void send(Try t) {
            thread.execute(() -> {
                if (t.state == AttemptState.WAITING && !over && !closed) {
                    sendNow(t);
                }
            });
        }

        private void sendNow(Try t) {
            t.sent(t.message());
            write(t.sent);
            events.record(EventKind.ATTEMPT_SENT, t.order.playback(), number, pool.address.id(),
                duplex.flushed() ? null : "queued");
        }

        private void ask(Test test, String what) {
            String id = test == null ? String.format("%016x", ++RtspHostClient.this.tests) : test.id;
            byte[] message = Rtsp.request("OPTIONS", what, OPTIONS, id, null);
            if (test != null) {
                tests.put(id, test);
            }
            if (up) {
                write(message);
            } else {
                waiting.add(message);
            }
        }

        private void gaveUp(String id) {
            gaveUp.put(id, System.nanoTime());
            write(teardown(id, -1));
            events.record(EventKind.ATTEMPT_CANCELLED, id, number, pool.address.id(), duplex.flushed() ? null : "queued");
        }

        private void say(Word word) {
            if (word.ends) {
                said.add(new Said(word, System.nanoTime()));
            }
            write(word.bytes);
        }

        private void dropped() {
            if (pool.lines.remove(this)) {
                held--;
            }
        }

        /**
         * What ends sessions and may not have been read goes out again on another line: a host that hears it twice does
         * nothing. So does the end of a try that was given up here, as its answer may have crossed that: further tries of
         * it then go out on that line, behind its end.
         */
        private void sayAgain() {
            long now = System.nanoTime();
            said.stream().filter(w -> now - w.at < UNREAD).forEach(w -> pool.say(w.word));
            said.clear();
            gaveUp.forEach((id, at) -> {
                if (now - at < UNREAD && pool.lines.stream().noneMatch(l -> l.tries.containsKey(id))) {
                    Line line = pool.say(released(id));
                    if (line != null) {
                        line.gaveUp.put(id, now);
                    }
                }
            });
        }

        private void write(byte[] message) {
            usedAt = System.nanoTime();
            duplex.write(message);
        }

        private void duplexClose() {
            over = true;
            if (duplex != null) {
                duplex.close();
            } else {
                connecting.cancel();
            }
        }

        private void close(String why) {
            note(EventKind.HOST_CLOSED, why);
            duplexClose();
            dropped();
        }

        private void note(EventKind kind, String detail) {
            events.record(kind, null, number, pool.address.id(), detail);
        }

        /** All that is open on the line ends so; what was sent may have run. */
        private void ended(Verdict verdict) {
            List.copyOf(tries.values()).forEach(t -> t.broken(verdict));
            List.copyOf(tests.values()).forEach(t -> t.done(verdict, LoadReport.NONE));
        }

        @Override
        public void closed() {
            over = true;
            note(EventKind.HOST_CLOSED, "by the host, or broken");
            dropped();
            sayAgain();
            ended(Verdict.BROKEN);
            pool.again();
        }

        @Override
        public void bytes(ByteBuffer data) {
            heardAt = usedAt = System.nanoTime();
            pool.lifeline.heard(heardAt);
            try {
                Rtsp message = reader.next(data);
                while (message != null && !over) {
                    take(message);
                    message = reader.next(data);
                }
            } catch (Rtsp.Unreadable e) {
                close(e.getMessage());
                sayAgain();
                ended(Verdict.BROKEN);
                pool.again();
            }
        }

        private void take(Rtsp message) throws Rtsp.Unreadable {
            if (message.status() >= 200) {
                answered(message);
            } else if (message.status() == 0) {
                told(message);
            }
        }

        /**
         * Guards against a description whose last bytes a length that is a little too small has left out: what follows is
         * then the end of a line, which may stand between messages. One of whole lines is answered by one of whole lines.
         */
        private void checkWhole(byte[] offered, byte[] described) throws Rtsp.Unreadable {
            if (endsLine(offered) && !endsLine(described)) {
                throw new Rtsp.Unreadable("a description that ends within a line");
            }
        }

        private static boolean endsLine(byte[] text) {
            return text != null && text.length > 0 && text[text.length - 1] == '\n';
        }

        private void answered(Rtsp message) throws Rtsp.Unreadable {
            LoadReport report = Occupancy.read(message.field("x-occupancy"));
            Test test = tests.get(message.session());
            Try t = tries.get(message.session());
            if (message.sequence() == TEARDOWN || message.sequence() == SET_UP && message.status() != 200) {
                cancelRead(message.session());
            }
            if (message.sequence() == OPTIONS) {
                if (test != null) {
                    test.done(message.status() == 200 ? Verdict.OK : Verdict.ERROR, report);
                }
            } else if (message.sequence() == SET_UP && t == null) {
                if (message.status() == 200 && gaveUp.containsKey(message.session())) {
                    say(released(message.session()));
                }
            } else if (message.sequence() == TEARDOWN) {
                said.removeIf(w -> w.word.session.equals(message.session()));
            } else if (message.sequence() == SET_UP && message.status() == 200) {
                checkWhole(t.order.description(), message.body());
                t.finish(Verdict.OK);
                gaveUp.remove(message.session()); // A second copy must not end what plays.
                t.result.started(report, message.body());
            } else if (message.sequence() == SET_UP) {
                refused.put(message.session(), heardAt);
                if (gaveUp.containsKey(message.session())) {
                    t.unproven(); // It may be the late answer to the attempt before, which proves nothing of this one.
                    return;
                }
                t.cameBack(switch (message.status()) {
                    case 453 -> Verdict.FULL;
                    case 454 -> Verdict.NOT_SENT;
                    case 504 -> Verdict.BROKEN;
                    default -> Verdict.ERROR;
                }, report);
            }
        }

        private void cancelRead(String session) {
            Try attempt = cancelled.get(session);
            if (attempt != null) {
                attempt.cancelRead();
            }
        }

        private void told(Rtsp message) {
            long host = pool.address.id();
            switch (message.method()) {
                case "TEARDOWN" -> {
                    write(Rtsp.response(200, "OK", Math.max(0, message.sequence()), message.session()));
                    cancelRead(message.session());
                    Try t = tries.get(message.session());
                    Verdict verdict = switch (message.cause()) {
                        case USUAL -> Verdict.OK;
                        case WITHDRAWN -> Verdict.WITHDRAWN;
                        default -> Verdict.BROKEN;
                    };
                    if (t != null) {
                        t.cameBack(Verdict.BROKEN, Occupancy.read(message.field("x-occupancy")));
                    } else {
                        notes.ended(host, message.session(), verdict);
                    }
                }
                case "ANNOUNCE" -> {
                    double figure = Occupancy.figure(message.field("x-reading"));
                    if (!Double.isNaN(figure)) {
                        switch (message.field("x-diagnosis")) {
                            case "served" -> notes.delivered(host, message.session(), figure);
                            case "at_rung" -> notes.rung(host, message.session(), (int) figure);
                            case "link_use" -> notes.load(host, message.session(), new LoadReport(figure, Double.NaN));
                            case "rack_use" -> notes.load(host, message.session(), new LoadReport(Double.NaN, figure));
                            default -> { }
                        }
                    }
                }
                case "OPTIONS" -> write(Rtsp.response(200, "OK", OPTIONS, message.session()));
                default -> { }
            }
        }
    }
}
