package cypressvalve.run;

import static net.logstash.logback.argument.StructuredArguments.kv;

import cypressvalve.accesslog.AccessLog;
import cypressvalve.accesslog.AccessLogHandler;
import cypressvalve.config.BadSettings;
import cypressvalve.config.GatewaySettings;
import cypressvalve.entitlement.Door;
import cypressvalve.entitlement.Terms;
import cypressvalve.entitlement.TokenReader;
import cypressvalve.fleet.ListClient;
import cypressvalve.fleet.membership.ListVersion;
import cypressvalve.front.hls.HlsFront;
import cypressvalve.front.hls.SessionUris;
import cypressvalve.host.HttpHostClient;
import cypressvalve.net.HttpCaller;
import cypressvalve.net.PollCycles;
import cypressvalve.session.Clock;
import cypressvalve.session.ClockBound;
import cypressvalve.session.SessionCore;
import cypressvalve.session.XnioLoop;
import cypressvalve.telemetry.GatewayMetrics;
import io.undertow.Undertow;
import io.undertow.UndertowOptions;
import io.undertow.server.HttpHandler;
import io.undertow.server.handlers.PathHandler;
import io.undertow.server.handlers.encoding.ContentEncodingRepository;
import io.undertow.server.handlers.encoding.EncodingHandler;
import io.undertow.server.handlers.encoding.GzipEncodingProvider;
import io.undertow.util.Headers;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.security.GeneralSecurityException;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;

/**
 * One gateway put together: a worker of its own with one I/O thread, which runs the core, its fronts, its list and its
 * calls to media hosts. Gateways in one process share nothing.
 */
public final class GatewayNode {
    private static final Logger LOG = LoggerFactory.getLogger(GatewayNode.class);

    private final GatewaySettings settings;
    private final XnioWorker worker;
    private final XnioIoThread thread;
    private final PollCycles polls;
    private final HttpCaller listCaller;
    private final HttpHostClient client;
    private final ListClient list;
    private final SessionCore core;
    private final GatewayMetrics metrics;
    private final Undertow server;
    private final AccessLog accessLog;
    private final KeyFile keyFile;
    private final KeyFile tokenFile;
    private final CountDownLatch listed = new CountDownLatch(1);
    private final AtomicBoolean killed = new AtomicBoolean();

    /**
     * Makes a gateway that does not listen yet.
     *
     * @param onFailure told once, on the loop, if its decisions fail
     * @throws BadSettings if the clock may be off too far for turns at fresh hosts, or the keys can't be read
     */
    public GatewayNode(GatewaySettings settings, Clock clock, Consumer<Throwable> onFailure) {
        this.settings = settings;
        long window = settings.service().rules().fallTime();
        if (settings.of() > 1 && !ClockBound.allows(settings.clockError(), window)) {
            throw new BadSettings(List.of("gateway.clock-error: expected " + ClockBound.most(window) / 1e6
                + "ms at most, a part of the window of service.rules.cold; gateways take turns by the time of day"));
        }
        String keys = keys(settings);
        SessionUris uris = uris(settings, keys);
        keyFile = settings.keys() == null ? null : new KeyFile(settings.keys(), uris::replaceKeys, keys);
        String tokenKeys = settings.entitlement() == null ? null : tokenKeys(settings.entitlement().keys());
        TokenReader tokens = tokenKeys == null ? null : tokens(settings.entitlement(), tokenKeys);
        tokenFile = tokens == null ? null : new KeyFile(settings.entitlement().keys(), tokens::replaceKeys, tokenKeys);
        try {
            worker = Xnio.getInstance().createWorker(OptionMap.builder()
                .set(Options.WORKER_NAME, "gateway-" + settings.number()).set(Options.WORKER_IO_THREADS, 1)
                .set(Options.WORKER_TASK_CORE_THREADS, 1).set(Options.WORKER_TASK_MAX_THREADS, 1)
                .set(Options.THREAD_DAEMON, true).getMap());
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
        thread = worker.getIoThread();
        polls = new PollCycles(thread);
        metrics = new GatewayMetrics(settings.number());
        listCaller = new HttpCaller(thread, settings.hosts().connectTimeout(), 0);
        list = new ListClient(thread, listCaller, settings.list(), settings.number(),
            settings.service().fleet().cells(), settings.service().fleet().places().keySet());
        LaterNotes notes = new LaterNotes();
        client = new HttpHostClient(thread, settings.number(), settings.hosts(), notes);
        core = new SessionCore(settings.service(),
            settings.service().control(settings.number(), settings.of(), settings.zone()), settings.seed(), clock,
            new XnioLoop(polls), client, list, settings.limits().sessions(), settings.limits().admission(), metrics,
            onFailure);
        notes.core = core;
        metrics.bind(core);
        HttpHandler hls = new EncodingHandler(new HlsFront(core, settings.service(), uris, settings.uriExpiry(), tokens == null
            ? null : new Door(tokens, new Terms(settings.entitlement().skew(), settings.entitlement().grace()),
                metrics::unentitled)),
            new ContentEncodingRepository().addEncodingHandler("gzip", new GzipEncodingProvider(), 50,
                exchange -> exchange.getResponseContentLength() > 1024));
        PathHandler paths = new PathHandler(hls).addExactPath("/-/health", exchange -> {
            exchange.setStatusCode(core.healthy() ? 200 : 503);
            exchange.getResponseSender().send(core.healthy() ? "serving\n" : "not serving\n");
        }).addExactPath("/-/metrics", exchange -> {
            exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "text/plain; version=0.0.4");
            exchange.getResponseSender().send(metrics.scrape());
        });
        accessLog = accessLog(settings);
        HttpHandler all = accessLog == null ? paths : new AccessLogHandler(paths, accessLog);
        GatewaySettings.Limits limits = settings.limits();
        server = Undertow.builder().setWorker(worker)
            .addHttpListener(settings.listenPort(), settings.listenHost(), all)
            .setServerOption(UndertowOptions.MAX_HEADER_SIZE, limits.headerBytes())
            .setServerOption(UndertowOptions.MAX_HEADERS, limits.headers())
            .setServerOption(UndertowOptions.MAX_PARAMETERS, limits.parameters())
            .setServerOption(UndertowOptions.MAX_ENTITY_SIZE, 0L + limits.headerBytes())
            .setServerOption(UndertowOptions.REQUEST_PARSE_TIMEOUT, (int) (limits.requestTimeout() / 1_000_000))
            .setServerOption(UndertowOptions.NO_REQUEST_TIMEOUT, (int) (limits.idleTimeout() / 1_000_000))
            .setSocketOption(Options.CONNECTION_HIGH_WATER, limits.connections())
            .setSocketOption(Options.CONNECTION_LOW_WATER, limits.connections())
            .setSocketOption(Options.BACKLOG, 1024).setSocketOption(Options.REUSE_ADDRESSES, true).build();
    }

    private static AccessLog accessLog(GatewaySettings settings) {
        try {
            return settings.accessLog() == null ? null : new AccessLog(settings.accessLog());
        } catch (IOException e) {
            throw new BadSettings(List.of(settings.accessLog() + ":1: expected a file to write the access log to: " + e));
        }
    }

    private static String tokenKeys(java.nio.file.Path file) {
        try {
            return Files.readString(file);
        } catch (IOException e) {
            throw new BadSettings(List.of(file + ":1: expected a key set in Tink's JSON form: "
                + e.getClass().getSimpleName()));
        }
    }

    private static TokenReader tokens(GatewaySettings.Entitlement by, String keys) {
        try {
            return new TokenReader(keys, by.issuer(), by.skew());
        } catch (GeneralSecurityException e) {
            throw new BadSettings(List.of(by.keys() + ":1: expected a key set for JSON web tokens in Tink's JSON form: "
                + e.getClass().getSimpleName()));
        }
    }

    private static String keys(GatewaySettings settings) {
        try {
            return settings.keys() == null ? SessionUris.freshKeys() : Files.readString(settings.keys());
        } catch (IOException e) {
            throw new BadSettings(List.of(settings.keys() + ":1: expected a key set in Tink's JSON form: "
                + e.getClass().getSimpleName()));
        }
    }

    private static SessionUris uris(GatewaySettings settings, String keys) {
        try {
            return new SessionUris(keys);
        } catch (GeneralSecurityException e) {
            throw new BadSettings(List.of(settings.keys() + ":1: expected a key set in Tink's JSON form: "
                + e.getClass().getSimpleName()));
        }
    }

    /** How often the key file is looked at: keys are changed by hand, a few times a year. */
    private static final long KEYS_LOOK_S = 5;

    private void lookAtKeys() {
        thread.executeAfter(() -> {
            if (!killed.get()) {
                worker.execute(() -> {
                    if (keyFile != null) {
                        keyFile.look();
                    }
                    if (tokenFile != null) {
                        tokenFile.look();
                    }
                });
                lookAtKeys();
            }
        }, KEYS_LOOK_S, TimeUnit.SECONDS);
    }

    /** Follows the list and listens. Returns when it listens. */
    public void start() {
        thread.execute(() -> {
            core.start();
            list.start(new ListClient.Taker() {
                @Override
                public void listed(ListVersion version) {
                    core.listed(version.entries(), version.whole());
                    if (settings.takeUp() && listed.getCount() > 0) {
                        core.takeUp();
                    }
                    listed.countDown();
                }

                @Override
                public void failed() {
                    core.listFailed();
                }
            });
        });
        server.start();
        if (keyFile != null || tokenFile != null) {
            lookAtKeys();
        }
        LOG.info("gateway listens {} {}", kv("gateway", settings.number()), kv("port", port()));
    }

    /** Waits until a first list was taken; false if none came in time. */
    public boolean awaitList(long timeout, TimeUnit unit) throws InterruptedException {
        return listed.await(timeout, unit);
    }

    /** The port it listens on. */
    public int port() {
        return ((InetSocketAddress) server.getListenerInfo().get(0).getAddress()).getPort();
    }

    public SessionCore core() {
        return core;
    }

    public GatewayMetrics metrics() {
        return metrics;
    }

    /** Runs a task on the gateway's loop. */
    public void onLoop(Runnable task) {
        thread.execute(task);
    }

    /** Takes nothing new, ends what is open with one answer each, tells the hosts; then stops. */
    public void drain() throws InterruptedException {
        CountDownLatch empty = new CountDownLatch(1);
        thread.execute(() -> core.drain(empty::countDown));
        long longest = settings.service().plans().values().stream().mapToLong(p -> p.abandon()).max().orElse(0);
        if (!empty.await(longest, TimeUnit.NANOSECONDS)) {
            LOG.error("some playbacks were not answered in their longest abandon time");
        }
        // Releases still on their way to hosts get one call's time to arrive.
        CountDownLatch sent = new CountDownLatch(1);
        thread.executeAfter(sent::countDown, settings.hosts().callTimeout() / 1_000_000, TimeUnit.MILLISECONDS);
        sent.await(settings.hosts().callTimeout() * 2, TimeUnit.NANOSECONDS);
        kill();
    }

    /** Stops at once, with no word to anybody; a second call does nothing. */
    public void kill() {
        if (!killed.compareAndSet(false, true)) {
            return;
        }
        server.stop();
        CountDownLatch shut = new CountDownLatch(1);
        thread.execute(() -> {
            core.close();
            list.close();
            client.close();
            listCaller.close();
            polls.close();
            shut.countDown();
        });
        try {
            shut.await(1, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        worker.shutdownNow();
        if (accessLog != null) {
            accessLog.close();
        }
    }
}
