package cypressvalve.host.rtsp;

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
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.xnio.IoFuture;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
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

    private final XnioIoThread thread;
    private final HostLimits limits;
    private final Notes notes;
    private final ByteBuffer buffer;
    private final long idle;
    private final int streams;
    /** By host, as long as it has connections or is followed. */
    private final Map<Long, Pool> pools = new LinkedHashMap<>();
    private long tests;
    private boolean closed;

    /**
     * @param limits mostIdle is how many connections each host is given at most
     * @param idle nanoseconds after which hosts close a connection that carries nothing
     * @param streams set-ups that one connection may have open
     * @param buffer what is read into, shared by the thread's connections
     */
    public RtspHostClient(XnioIoThread thread, HostLimits limits, long idle, int streams, ByteBuffer buffer, Notes notes) {
        this.thread = thread;
        this.limits = limits;
        this.idle = idle;
        this.streams = Math.max(1, streams);
        this.buffer = buffer;
        this.notes = notes;
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
        return pools.values().stream().mapToInt(p -> p.lines.size()).sum();
    }

    private Pool pool(HostAddress host) {
        Pool pool = pools.get(host.id());
        if (pool == null || !pool.address.equals(host)) {
            Pool old = pool;
            pool = new Pool(host);
            pools.put(host.id(), pool);
            if (old != null) {
                pool.followed = old.followed;
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
        t.timer = after(order.maxWait(), () -> t.givenUp(t.sent ? Verdict.TIMEOUT : Verdict.NO_CONNECTION));
        t.line = pool(host).pick(order.playback());
        t.line.add(t);
        return t::withdraw;
    }

    private Timer after(long delay, Runnable task) {
        return Timer.after(thread, task, delay);
    }

    @Override
    public void setRung(HostAddress host, String session, int rung) {
        pool(host).say(Rtsp.request("SET_PARAMETER", "session", 4, id(session), null, "X-Quality: " + rung));
    }

    @Override
    public void release(HostAddress host, String session) {
        pool(host).say(teardown(id(session), USUAL));
    }

    @Override
    public void move(HostAddress host, String session) {
        pool(host).say(Rtsp.request("REDIRECT", "session", 4, id(session), null));
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
        test.line.ask(test, "load");
    }

    @Override
    public void carried(HostAddress host, Consumer<List<Carried>> result) {
        result.accept(List.of());
    }

    @Override
    public void freeLinks(HostAddress host) {
        Pool pool = pools.get(host.id());
        if (pool != null) {
            List.copyOf(pool.lines).stream().filter(Line::unused).skip(pool.followed ? 1 : 0).forEach(Line::close);
        }
    }

    @Override
    public void follow(HostAddress host, boolean on) {
        Pool pool = pool(host);
        pool.followed = on;
        pool.lifeline = new Lifeline(System.nanoTime());
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

    /** A set-up on its way. */
    private final class Try {
        private final SetUpOrder order;
        private final SetUpResult result;
        private final long until;
        private Line line;
        private Timer timer;
        private boolean sent;
        private boolean done;

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

        private boolean finish() {
            if (done) {
                return false;
            }
            done = true;
            timer.cancel();
            line.tries.remove(order.playback(), this);
            return true;
        }

        /** Guards against a set-up that leaves after its playback's answer, as its connection comes up just then. */
        private void withdraw() {
            if (finish()) {
                if (sent) {
                    line.gaveUp(order.playback());
                }
                thread.execute(() -> result.cameBack(sent ? Verdict.WITHDRAWN : Verdict.NOT_SENT, LoadReport.NONE));
            }
        }

        /** The host is told before anything else can be sent; a line on which it said nothing since is of no use. */
        private void givenUp(Verdict verdict) {
            if (finish()) {
                if (sent) {
                    line.gaveUp(order.playback());
                    if (verdict == Verdict.TIMEOUT && line.heardAt < until - order.maxWait()) {
                        line.retired = true;
                    }
                }
                result.cameBack(verdict, LoadReport.NONE);
            }
        }

        private void cameBack(Verdict verdict, LoadReport report) {
            if (finish()) {
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
                line.tests.remove(id);
                result.probed(verdict, report);
            }
        }
    }

    /** What leads to one media host. */
    private final class Pool {
        private final HostAddress address;
        private final List<Line> lines = new ArrayList<>();
        private final ArrayDeque<byte[]> words = new ArrayDeque<>();
        private boolean followed;
        private Lifeline lifeline = new Lifeline(System.nanoTime());

        private Pool(HostAddress address) {
            this.address = address;
        }

        /**
         * A line for that set-up: the one on which an earlier try was given up, as on another the end of that might be
         * read after it; else one that carries none, else a new one, else that with the fewest.
         */
        private Line pick(String id) {
            Line best = null;
            for (Line line : lines) {
                if (!line.over && line.gaveUp.contains(id)) {
                    return line;
                }
                if (line.usable() && (best == null || line.load() < best.load())) {
                    best = line;
                }
            }
            if (best == null || best.load() > 0 && lines.size() < limits.mostIdle()) {
                best = new Line(this);
            }
            return best;
        }

        private Line open() {
            for (Line line : lines) {
                if (line.up && !line.retired) {
                    return line;
                }
            }
            return null;
        }

        /** Says something that wants no answer on any line, as soon as there is one. */
        private void say(byte[] word) {
            Line line = open();
            if (line != null) {
                line.write(word);
            } else if (words.size() < MOST_WORDS) {
                words.add(word);
                if (lines.stream().allMatch(l -> l.retired)) {
                    new Line(this);
                }
            }
        }

        /**
         * What a host said last on a line that closed may be lost. It says what ended also on the next one opened: so
         * one is, where something plays.
         */
        private void again() {
            if (followed && lines.size() < limits.mostIdle() && lines.stream().allMatch(l -> l.up)) {
                new Line(this);
            }
        }

        private void look() {
            switch (lifeline.step(System.nanoTime(), open() != null)) {
                case CONNECT -> new Line(this);
                case TEST -> open().ask(null, "ping");
                case LOST -> {
                    followed = false;
                    words.clear();
                    lifeline = new Lifeline(System.nanoTime());
                    notes.lost(address.id());
                }
                default -> { }
            }
        }

        private void sweep() {
            long now = System.nanoTime();
            if (followed) {
                look();
            }
            for (Line line : List.copyOf(lines)) {
                boolean spare = line.retired ? now - line.usedAt > RETIRED : !followed && now - line.usedAt > idle * IDLE_PART;
                if (line.up && line.unused() && spare) {
                    line.close();
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
            List.copyOf(lines).stream().filter(Line::unused).forEach(Line::close);
        }
    }

    /** One connection to a media host. */
    private final class Line implements Duplex.Taker {
        private final Pool pool;
        private final Map<String, Try> tries = new LinkedHashMap<>();
        private final Map<String, Test> tests = new LinkedHashMap<>();
        /** Set-ups given up on this line: an answer may still come. Bounded by the line's life. */
        private final Set<String> gaveUp = new HashSet<>();
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
            connecting = thread.openStreamConnection(
                new InetSocketAddress(pool.address.host(), pool.address.port()), this::opened, OptionMap.EMPTY);
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
            duplex = new Duplex(connection, buffer, MOST_QUEUED, this);
            duplex.start();
            pool.lifeline.connected(System.nanoTime());
            while (!pool.words.isEmpty()) {
                write(pool.words.poll());
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
            timer.cancel();
            connecting.cancel();
            pool.lines.remove(this);
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

        private void send(Try t) {
            t.sent = true;
            write(t.message());
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
            gaveUp.add(id);
            write(teardown(id, -1));
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

        private void close() {
            duplexClose();
            pool.lines.remove(this);
        }

        /** All that is open on the line ends so; what was sent may have run. */
        private void ended(Verdict verdict) {
            List.copyOf(tries.values()).forEach(t -> t.cameBack(verdict, LoadReport.NONE));
            List.copyOf(tests.values()).forEach(t -> t.done(verdict, LoadReport.NONE));
        }

        @Override
        public void closed() {
            over = true;
            pool.lines.remove(this);
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
                close();
                ended(Verdict.BROKEN);
                pool.again();
            }
        }

        private void take(Rtsp message) {
            if (message.status() >= 200) {
                answered(message);
            } else if (message.status() == 0) {
                told(message);
            }
        }

        private void answered(Rtsp message) {
            LoadReport report = Occupancy.read(message.field("x-occupancy"));
            Test test = tests.get(message.session());
            Try t = tries.get(message.session());
            if (message.sequence() == OPTIONS) {
                if (test != null) {
                    test.done(message.status() == 200 ? Verdict.OK : Verdict.ERROR, report);
                }
            } else if (message.sequence() == SET_UP && t == null) {
                if (message.status() == 200 && gaveUp.contains(message.session())) {
                    write(teardown(message.session(), USUAL));
                }
            } else if (message.sequence() == SET_UP && message.status() == 200) {
                if (t.finish()) {
                    gaveUp.remove(message.session()); // A second copy must not end what plays.
                    t.result.started(report, message.body());
                }
            } else if (message.sequence() == SET_UP) {
                t.cameBack(switch (message.status()) {
                    case 453 -> Verdict.FULL;
                    case 454 -> Verdict.NOT_SENT;
                    case 504 -> Verdict.BROKEN;
                    default -> Verdict.ERROR;
                }, report);
            }
        }

        private void told(Rtsp message) {
            long host = pool.address.id();
            switch (message.method()) {
                case "TEARDOWN" -> {
                    write(Rtsp.response(200, "OK", Math.max(0, message.sequence()), message.session()));
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
