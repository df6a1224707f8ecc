package cypressvalve.standin;

import com.fasterxml.jackson.databind.ObjectMapper;
import cypressvalve.accesslog.AccessLog;
import cypressvalve.accesslog.AccessLogHandler;
import cypressvalve.tape.Tape;
import io.undertow.Undertow;
import io.undertow.UndertowOptions;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.ServerConnection;
import io.undertow.server.handlers.sse.ServerSentEventConnection;
import io.undertow.server.handlers.sse.ServerSentEventHandler;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import io.undertow.util.Methods;
import io.undertow.util.SameThreadExecutor;
import java.io.IOException;
import java.net.BindException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;

/**
 * A media host on loopback: its link and its rack's uplink shared by its streams, places, set-up work, a cold start
 * that falls over when pushed, reports and notes. One I/O thread owns all of its state; faults are set from outside.
 */
public final class MediaHostServer {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final HttpString GATEWAY = new HttpString("Cypressvalve-Gateway");
    private static final HttpString NOT_TAKEN = new HttpString("Cypressvalve-Not-Taken");
    private static final HttpString CMSD = new HttpString("CMSD-Dynamic");
    private static final long TICK_MS = 100;
    /** The machine kept this loop from running for so long: told on the tape, as records of it came as late. */
    private static final long STALLED = 50_000_000;
    private static final ByteBuffer PACKETS = packets(4 << 20);

    private final HostSpec spec;
    private final Uplink uplink;
    private final Tape tape;
    private final Random chance;
    private final Faults faults = new Faults();
    private final XnioWorker worker;
    private final XnioIoThread thread;
    private final Map<String, Held> held = new LinkedHashMap<>();
    private final Set<String> withdrawn = new HashSet<>();
    private final ArrayDeque<Held> queue = new ArrayDeque<>();
    private final Set<ServerConnection> connections = new HashSet<>();
    private final Map<Integer, ServerSentEventConnection> notes = new HashMap<>();
    private final ColdStart start;
    private Undertow server;
    private final AccessLog accessLog;
    private volatile int port;
    private int working;
    private int life;
    private boolean up;
    private boolean fallen;
    private boolean wasShort;
    private long startedAt;
    private long lastNotes;
    private long tickDue;
    private double smoothed = 1;

    /** A try or a session that the host holds. */
    private static final class Held implements HostSpec.Carries {
        final String name;
        final int gateway;
        final String title;
        final String plan;
        int rung;
        HttpServerExchange exchange;
        boolean playing;
        boolean over;
        long lastSeen = System.nanoTime();
        double factor = 1;
        String about = "";

        Held(String name, int gateway, String title, String plan, int rung) {
            this.name = name;
            this.gateway = gateway;
            this.title = title;
            this.plan = plan;
            this.rung = rung;
        }

        @Override
        public boolean playing() {
            return playing;
        }

        @Override
        public String title() {
            return title;
        }

        @Override
        public String plan() {
            return plan;
        }

        @Override
        public int rung() {
            return rung;
        }

        @Override
        public double factor() {
            return factor;
        }
    }

    public MediaHostServer(HostSpec spec, Uplink uplink, Tape tape) {
        this(spec, uplink, tape, null);
    }

    /** @param accessLog where its requests are written, null for nowhere; closed with the host */
    public MediaHostServer(HostSpec spec, Uplink uplink, Tape tape, AccessLog accessLog) {
        this.accessLog = accessLog;
        this.spec = spec;
        this.uplink = uplink;
        this.tape = tape;
        chance = new Random(spec.seed());
        start = new ColdStart(spec.cold(), spec.places());
        try {
            worker = Xnio.getInstance().createWorker(OptionMap.builder().set(Options.WORKER_NAME, "host-" + spec.id())
                .set(Options.WORKER_IO_THREADS, 1).set(Options.WORKER_TASK_CORE_THREADS, 1)
                .set(Options.WORKER_TASK_MAX_THREADS, 1).set(Options.THREAD_DAEMON, true).getMap());
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
        thread = worker.getIoThread();
    }

    /** What is wrong with it; may be set from any thread. */
    public Faults faults() {
        return faults;
    }

    public HostSpec spec() {
        return spec;
    }

    /** Where it listens, once started; the same after a restart. */
    public int port() {
        return port;
    }

    /** Nanoseconds since 1970 of its last start. */
    public long startedAt() {
        return startedAt;
    }

    /** Starts listening on that port, 0 for one that the system picks; not on its own thread. */
    public void startAt(int listenPort, boolean warm) {
        port = listenPort;
        start(warm);
    }

    /**
     * Starts listening; not on its own thread.
     *
     * @param warm whether it counts as having run for long
     */
    public void start(boolean warm) {
        Undertow fresh = Undertow.builder().setWorker(worker)
            .addHttpListener(port, "127.0.0.1",
                accessLog == null ? this::handle : new AccessLogHandler(this::handle, accessLog))
            .setServerOption(UndertowOptions.ALWAYS_SET_DATE, false)
            .setServerOption(UndertowOptions.NO_REQUEST_TIMEOUT, 60_000)
            .setSocketOption(Options.REUSE_ADDRESSES, true).build();
        listen(fresh);
        server = fresh;
        port = ((InetSocketAddress) fresh.getListenerInfo().get(0).getAddress()).getPort();
        on(() -> {
            life++;
            up = true;
            startedAt = tape.now();
            start.begin(startedAt, warm);
            lastNotes = System.nanoTime();
            tickDue = 0;
            tape.put("host", "up", "host", spec.id(), "warm", warm, "places", spec.places(),
                "coldTime", spec.cold().time(), "coldShare", spec.cold().share(), "multiple", spec.cold().multiple(),
                "window", spec.cold().window());
            tick(life);
        });
    }

    /** The old port may not be free at once, as the kernel sees off connections of the last life. */
    private static void listen(Undertow fresh) {
        for (int tries = 0;; tries++) {
            try {
                fresh.start();
                return;
            } catch (RuntimeException e) {
                if (!(e.getCause() instanceof BindException) || tries > 100) {
                    throw e;
                }
                java.util.concurrent.locks.LockSupport.parkNanos(20_000_000);
            }
        }
    }

    /** The process dies: all connections break, nothing it carried is left. Not on its own thread. */
    public void crash() {
        if (server != null) {
            server.stop();
            server = null;
            on(() -> die("down"));
        }
    }

    /** Stops for good. */
    public void close() {
        crash();
        worker.shutdown();
        if (accessLog != null) {
            accessLog.close();
        }
    }

    private void die(String kind) {
        if (!up) {
            return;
        }
        up = false;
        life++;
        tape.put("host", kind, "host", spec.id());
        held.values().forEach(h -> h.over = true);
        held.clear();
        queue.clear();
        withdrawn.clear();
        working = 0;
        notes.clear();
        uplink.asks(spec.id(), 0);
        List.copyOf(connections).forEach(IoUtils::safeClose);
        connections.clear();
    }

    private void on(Runnable task) {
        CompletableFuture<Void> done = new CompletableFuture<>();
        thread.execute(() -> {
            try {
                task.run();
                done.complete(null);
            } catch (RuntimeException e) {
                done.completeExceptionally(e);
            }
        });
        done.join();
    }

    private void handle(HttpServerExchange exchange) throws Exception {
        ServerConnection connection = exchange.getConnection();
        if (!up) {
            IoUtils.safeClose(connection);
            return;
        }
        if (connections.add(connection)) {
            tape.put("host", "connected", "host", spec.id(), "connections", connections.size());
            int born = life;
            connection.addCloseListener(c -> thread.execute(() -> {
                if (connections.remove(c) && born == life) {
                    tape.put("host", "closed", "host", spec.id(), "connections", connections.size());
                }
            }));
        }
        String[] parts = exchange.getRequestPath().split("/", -1);
        HttpString method = exchange.getRequestMethod();
        String gateway = exchange.getRequestHeaders().getFirst(GATEWAY);
        int number = gateway == null || !gateway.matches("[0-9]{1,6}") ? -1 : Integer.parseInt(gateway);
        if (parts.length == 3 && parts[1].equals("sessions") && method.equals(Methods.PUT)) {
            exchange.dispatch(SameThreadExecutor.INSTANCE, () -> setUp(exchange, number, parts[2]));
        } else if (parts.length == 3 && parts[1].equals("sessions") && method.equals(Methods.DELETE)) {
            release(exchange, parts[2]);
        } else if (parts.length == 4 && parts[1].equals("sessions") && parts[3].equals("rung")) {
            rung(exchange, parts[2]);
        } else if (parts.length == 5 && parts[1].equals("media")) {
            media(exchange, parts[2], parts[3], parts[4]);
        } else if (parts.length == 2 && parts[1].equals("probe")) {
            exchange.dispatch(SameThreadExecutor.INSTANCE, () -> probe(exchange));
        } else if (parts.length == 2 && parts[1].equals("carried") && number >= 0) {
            exchange.getResponseSender().send(JSON.writeValueAsString(held.values().stream()
                .filter(h -> h.gateway == number && h.playing).map(h -> Map.of("session", h.name, "title", h.title,
                    "plan", h.plan, "rung", h.rung, "about", h.about)).toList()));
        } else if (parts.length == 2 && parts[1].equals("notes") && number >= 0) {
            new ServerSentEventHandler((c, last) -> listens(c, number)).handleRequest(exchange);
        } else {
            exchange.setStatusCode(404).endExchange();
        }
    }

    private static String query(HttpServerExchange exchange, String name) {
        Deque<String> values = exchange.getQueryParameters().get(name);
        return values == null ? "" : values.peekFirst();
    }

    /**
     * A session that plays when the day begins, set up by nobody's request.
     *
     * @return whether the host has place and link for it
     */
    public boolean adopt(String name, int gateway, String title, String plan, int rung, String about) {
        boolean[] taken = new boolean[1];
        on(() -> {
            if (spec.roomAtStart(held.values(), plan, rung)) {
                Held fresh = new Held(name, gateway, title, plan, rung);
                fresh.about = about;
                fresh.playing = true;
                fresh.factor = spec.drawFactor(chance);
                held.put(name, fresh);
                share();
                tape.put("host", "adopted", "host", spec.id(), "gateway", gateway, "session", name, "playback",
                    name.substring(0, name.lastIndexOf('.')), "title", title, "plan", plan, "rung", rung);
                taken[0] = true;
            }
        });
        return taken[0];
    }

    // Set-ups.

    private void setUp(HttpServerExchange exchange, int gateway, String name) {
        String title = query(exchange, "title");
        String plan = query(exchange, "plan");
        int rung = query(exchange, "rung").matches("[0-9]{1,3}") ? Integer.parseInt(query(exchange, "rung")) : -1;
        boolean known = spec.plans().containsKey(plan) && spec.live().containsKey(title) && rung >= 0
            && rung < spec.ladder().length && gateway >= 0;
        int dot = name.lastIndexOf('.');
        tape.put("host", "setup", "host", spec.id(), "gateway", gateway, "session", name,
            "playback", dot < 0 ? name : name.substring(0, dot), "try", dot < 0 ? "0" : name.substring(dot + 1),
            "title", title, "plan", plan, "rung", rung, "about", query(exchange, "about"));
        if (pushedOver()) {
            return;
        }
        Held fresh = new Held(name, gateway, title, plan, rung);
        fresh.exchange = exchange;
        fresh.about = query(exchange, "about");
        if (!known) {
            end(fresh, "bad", 400, false);
        } else if (withdrawn.remove(name) || held.containsKey(name)) {
            end(fresh, "withdrawn", 409, true);
        } else if (held.size() >= spec.places() || queue.size() >= spec.queue()) {
            end(fresh, "full", 503, true);
        } else if (chance.nextDouble() < faults.errors) {
            end(fresh, "error", 500, false);
        } else {
            held.put(name, fresh);
            queue.add(fresh);
            work();
        }
    }

    private boolean pushedOver() {
        if (!start.pushedOver(tape.now())) {
            return false;
        }
        fallen = true;
        die("fell");
        return true;
    }

    /** Whether it fell over; it then stays down. */
    public boolean fallen() {
        return fallen;
    }

    private void work() {
        while (working < spec.cores() && !queue.isEmpty() && !faults.hang) {
            Held next = queue.poll();
            if (next.over) {
                continue;
            }
            working++;
            long took = spec.drawWork(next.plan, faults.work * start.warmth(tape.now()), chance);
            int born = life;
            thread.executeAfter(() -> {
                if (born == life) {
                    working--;
                    ready(next);
                    work();
                }
            }, Math.max(1, took / 1_000_000), TimeUnit.MILLISECONDS);
        }
    }

    private void ready(Held session) {
        if (session.over) {
            return;
        }
        session.playing = true;
        session.lastSeen = System.nanoTime();
        session.factor = spec.drawFactor(chance);
        share();
        if (faults.hang || faults.answersLost) {
            tape.put("host", "answer-lost", "host", spec.id(), "session", session.name);
            return;
        }
        report(session.exchange);
        tape.put("host", "setup-end", "host", spec.id(), "session", session.name, "how", "started");
        session.exchange.setStatusCode(201).endExchange();
        session.exchange = null;
    }

    private void end(Held session, String how, int status, boolean notTaken) {
        session.over = true;
        tape.put("host", "setup-end", "host", spec.id(), "session", session.name, "how", how);
        if (faults.hang) {
            return;
        }
        report(session.exchange);
        if (notTaken) {
            session.exchange.getResponseHeaders().put(NOT_TAKEN, "1");
        }
        session.exchange.setStatusCode(status).endExchange();
    }

    private void release(HttpServerExchange exchange, String name) {
        Held session = held.remove(name);
        tape.put("host", "release", "host", spec.id(), "session", name, "known", session != null);
        if (session == null) {
            if (withdrawn.size() < 10_000) {
                withdrawn.add(name);
            }
        } else {
            session.over = true;
            queue.remove(session);
            if (session.exchange != null) {
                IoUtils.safeClose(session.exchange.getConnection());
            }
            share();
        }
        if (!faults.hang) {
            exchange.setStatusCode(204).endExchange();
        } else {
            exchange.dispatch(SameThreadExecutor.INSTANCE, () -> { });
        }
    }

    private void rung(HttpServerExchange exchange, String name) {
        Held session = held.get(name);
        String value = query(exchange, "value");
        boolean right = session != null && value.matches("[0-9]{1,3}")
            && Integer.parseInt(value) < spec.ladder().length;
        if (right) {
            session.rung = Integer.parseInt(value);
            tape.put("host", "rung", "host", spec.id(), "session", name, "plan", session.plan, "rung", session.rung);
            share();
        }
        if (faults.hang) {
            exchange.dispatch(SameThreadExecutor.INSTANCE, () -> { });
        } else {
            exchange.setStatusCode(right ? 204 : 404).endExchange();
        }
    }

    // The link.

    private double linkUse = 0;

    private void share() {
        double asked = spec.asked(held.values());
        linkUse = asked / (spec.link() * faults.link * start.warmth(tape.now()));
        uplink.asks(spec.id(), asked);
    }

    /** Share of the rates that arrives: where more is asked than link or uplink gives, all get the same. */
    private double delivered() {
        return faults.hang ? 0 : Math.min(1, 1 / Math.max(1e-9, Math.max(linkUse, uplink.use())));
    }

    private double bytesPerNano(Held session) {
        if (faults.hang || session.over) {
            return 0;
        }
        double use = Math.max(linkUse, uplink.use());
        return spec.rate(session, session.rung) * Math.min(HostSpec.FASTEST, 1 / Math.max(use, 1e-9)) * 1000 / 1e9;
    }

    private void media(HttpServerExchange exchange, String name, String rung, String file) {
        Held session = held.get(name);
        if (session == null || !session.playing || !rung.matches("[0-9]{1,3}")
            || Integer.parseInt(rung) >= spec.ladder().length || !file.matches("[0-9]{1,18}\\.ts")) {
            exchange.setStatusCode(410).endExchange();
            return;
        }
        session.lastSeen = System.nanoTime();
        double kb = spec.rate(session, Integer.parseInt(rung));
        int bytes = (int) Math.min(PACKETS.capacity(), kb * 1000 * spec.segment() / 1e9 / 188) * 188;
        ByteBuffer body = PACKETS.duplicate();
        body.limit(Math.max(188, Math.min(bytes, PACKETS.capacity() / 188 * 188)));
        // The pace stands in front of the count, so that only what reached the socket is on the tape.
        exchange.addResponseWrapper((factory, ex) -> new PacedConduit(new TapeConduit(factory.create(),
            n -> session.lastSeen = System.nanoTime(), (sent, whole) -> tape.put("host", "sent", "host", spec.id(),
                "session", name, "file", file, "rung", Integer.parseInt(rung), "bytes", sent, "of", body.limit(),
                "whole", whole && sent == body.limit())), () -> bytesPerNano(session)));
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "video/mp2t");
        exchange.getResponseSender().send(body);
    }

    /** MPEG-2 transport stream null packets (ISO/IEC 13818-1): 188 bytes, sync byte 0x47, PID 0x1fff. */
    private static ByteBuffer packets(int size) {
        ByteBuffer all = ByteBuffer.allocateDirect(size);
        while (all.remaining() >= 188) {
            all.put((byte) 0x47).put((byte) 0x1f).put((byte) 0xff).put((byte) 0x10);
            for (int i = 4; i < 188; i++) {
                all.put((byte) 0xff);
            }
        }
        return all.flip().asReadOnlyBuffer();
    }

    // Reports and notes.

    private double noisy(double value) {
        return Math.max(0, value * (1 + spec.reports().noise() * chance.nextGaussian()));
    }

    private void report(HttpServerExchange exchange) {
        if (spec.reports().inAnswers() || spec.reports().onProbe() && exchange.getRequestPath().equals("/probe")) {
            exchange.getResponseHeaders().put(CMSD, String.format(Locale.ROOT,
                "\"media-%d\";com.cypressvalve-link=%.3f;com.cypressvalve-uplink=%.3f", spec.id(), noisy(linkUse),
                noisy(uplink.use())));
        }
    }

    private void probe(HttpServerExchange exchange) {
        if (!faults.hang) {
            report(exchange);
            exchange.setStatusCode(200).endExchange();
        }
    }

    private void listens(ServerSentEventConnection connection, int gateway) {
        notes.put(gateway, connection);
        connection.addCloseTask(c -> thread.execute(() -> notes.remove(gateway, c)));
        if (!faults.hang) {
            List<String> names = held.values().stream().filter(h -> h.gateway == gateway && h.playing)
                .map(h -> h.name).toList();
            note(gateway, Map.of("sort", "carried", "sessions", names));
        }
    }

    private void note(int gateway, Map<String, Object> note) {
        ServerSentEventConnection connection = notes.get(gateway);
        if (connection != null && connection.isOpen()) {
            try {
                connection.send(JSON.writeValueAsString(note));
            } catch (com.fasterxml.jackson.core.JsonProcessingException e) {
                throw new IllegalStateException(e);
            }
        }
    }

    /** Each second and each note period: what is short, and how full it is, on one session of each gateway. */
    private void tick(int born) {
        if (born != life) {
            return;
        }
        long late = System.nanoTime() - tickDue;
        if (tickDue > 0 && late > STALLED) {
            tape.put("host", "stalled", "host", spec.id(), "nanos", late);
        }
        tickDue = System.nanoTime() + TICK_MS * 1_000_000;
        share();
        smoothed += (delivered() - smoothed) * 0.2;
        long now = System.nanoTime();
        if (!faults.hang) {
            work();
            expire(now);
        }
        boolean second = now / 1_000_000_000L != (now - TICK_MS * 1_000_000) / 1_000_000_000L;
        if (second && (smoothed < 0.98 || wasShort)) {
            wasShort = smoothed < 0.98;
            double share = wasShort ? smoothed : 1;
            perGateway().forEach((gateway, session) -> later(born, gateway,
                Map.of("sort", "delivered", "session", session, "value", share)));
        }
        if (spec.reports().notePeriod() > 0 && now - lastNotes >= spec.reports().notePeriod()) {
            lastNotes = now;
            double link = noisy(linkUse);
            double up = noisy(uplink.use());
            perGateway().forEach((gateway, session) -> later(born, gateway,
                Map.of("sort", "load", "session", session, "link", link, "uplink", up)));
        }
        thread.executeAfter(() -> tick(born), TICK_MS, TimeUnit.MILLISECONDS);
    }

    private Map<Integer, String> perGateway() {
        Map<Integer, String> one = new LinkedHashMap<>();
        held.values().stream().filter(h -> h.playing).forEach(h -> one.putIfAbsent(h.gateway, h.name));
        return one;
    }

    private void later(int born, int gateway, Map<String, Object> note) {
        long delay = spec.reports().noteDelay() + faults.notesLate;
        thread.executeAfter(() -> {
            if (born == life && !faults.hang) {
                note(gateway, note);
            }
        }, Math.max(1, delay / 1_000_000), TimeUnit.MILLISECONDS);
    }

    private void expire(long now) {
        for (Held h : new ArrayList<>(held.values())) {
            if (h.playing && now - h.lastSeen > spec.lease()) {
                held.remove(h.name);
                h.over = true;
                tape.put("host", "over", "host", spec.id(), "session", h.name, "why", "lease");
                note(h.gateway, Map.of("sort", "ended", "session", h.name));
                share();
            }
        }
    }
}
