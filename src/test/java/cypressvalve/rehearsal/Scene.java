package cypressvalve.rehearsal;

import cypressvalve.admission.Gate;
import cypressvalve.config.Doc;
import cypressvalve.config.GatewaySettings;
import cypressvalve.judge.Finding;
import cypressvalve.judge.Judge;
import cypressvalve.standin.MediaHostServer;
import cypressvalve.tape.Tape;
import cypressvalve.tape.TapeRecord;
import cypressvalve.trouble.DayScript;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;

/** The one helper of whole-path tests: a stage on loopback, viewers by hand, and a tape that can be waited on. */
final class Scene implements AutoCloseable {
    /** A wait that takes longer has failed; nothing is expected to take as long. */
    private static final long PATIENCE_MS = 20_000;
    private static final String DAY = """
        day: {name: scene, seed: 3, length: 10s}
        gateways: {count: GATEWAYS}
        hosts: {count: HOSTS, link: 4000, link-spread: 0, uplink-spread: 0, cores: 4, work: WORK, vary: 0, lease: 60s}
        titles: {recorded: 1, live: 1, copies: HOSTS, length: 60s}
        viewers: {rate: 0, length: 10s, plans: {plain: 1}}
        service:
          ladder: [50, 100, 200]
          revenue: [0.3, 0.6, 1]
          join: 0.3
          plans:
            - {name: plain, startup: 3s, abandon: 4s}
            - {name: paid, startup: 3s, abandon: 4s, effect: once}
            - {name: few, startup: 3s, abandon: 4s, seats: 2}
            - {name: air, startup: 3s, abandon: 4s, live: true, floor: 1}
          fleet: {cells: HOSTS, link: 4000, kinds: [{name: std, places: 40}]}
          rules: {drain-grace: 500ms, cold: COLD}
          reports: {via: answers, note-period: 500ms, note-delay: 50ms}
        """;

    final Tape tape = Tape.heard();
    final Stage stage;
    private final Judge judge = new Judge();
    private final List<TapeRecord> records = new ArrayList<>();
    private final HttpClient http = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1)
        .followRedirects(HttpClient.Redirect.NEVER).build();
    private int asks;

    Scene(int gateways, int hosts, String work, String cold) throws IOException, InterruptedException {
        this(DAY.replace("GATEWAYS", "" + gateways).replace("HOSTS", "" + hosts).replace("WORK", work)
            .replace("COLD", cold));
    }

    private Scene(String script) throws IOException, InterruptedException {
        this(script, GatewaySettings.Limits.DEFAULT);
    }

    private Scene(String script, GatewaySettings.Limits limits) throws IOException, InterruptedException {
        this(script, limits, null);
    }

    private Scene(String script, GatewaySettings.Limits limits, GatewaySettings.Entitlement entitlement)
        throws IOException, InterruptedException {
        Doc doc = Doc.parse("scene", script);
        DayScript day = DayScript.read(doc);
        doc.verify();
        tape.also(judge::accept);
        tape.also(r -> {
            synchronized (records) {
                records.add(r);
                records.notifyAll();
            }
        });
        stage = new Stage(day, tape, null, limits);
        stage.entitle(entitlement);
        stage.startGateways();
    }

    /** A scene whose hosts are all warm and never cold. */
    static Scene of(int gateways, int hosts) throws IOException, InterruptedException {
        return new Scene(gateways, hosts, "5ms", "{time: 0s}");
    }

    /** A scene of one gateway that lets viewers in by tokens. */
    static Scene entitled(int hosts, GatewaySettings.Entitlement by) throws IOException, InterruptedException {
        return new Scene(DAY.replace("GATEWAYS", "1").replace("HOSTS", "" + hosts).replace("WORK", "5ms")
            .replace("COLD", "{time: 0s}"), GatewaySettings.Limits.DEFAULT, by);
    }

    /** A scene whose hosts carry as many sessions as one likes. */
    static Scene wide(int gateways, int hosts) throws IOException, InterruptedException {
        return new Scene(DAY.replace("GATEWAYS", "" + gateways).replace("HOSTS", "" + hosts).replace("WORK", "1ms")
            .replace("COLD", "{time: 0s}").replace("places: 40", "places: 5000").replace("link: 4000", "link: 900000")
            .replace("cores: 4", "cores: 64, queue: 5000"));
    }

    /** A scene of one gateway and one host, with so many open requests at most, and tenants of equal shares if named. */
    static Scene flooded(int open, String... tenants) throws IOException, InterruptedException {
        GatewaySettings.Limits d = GatewaySettings.Limits.DEFAULT;
        String rows = java.util.Arrays.stream(tenants).map(t -> "{name: " + t + ", share: 0.5}")
            .collect(java.util.stream.Collectors.joining(", "));
        return new Scene(DAY.replace("GATEWAYS", "1").replace("HOSTS", "1").replace("WORK", "1ms")
            .replace("COLD", "{time: 0s}").replace("  join: 0.3", "  join: 0.3\n  tenants: [" + rows + "]"), new GatewaySettings.Limits(d.sessions(), d.connections(), d.headerBytes(),
                d.headers(), d.parameters(), d.requestTimeout(), d.idleTimeout(),
                new Gate.Limits(open, d.admission().late())));
    }

    /** One request to watch, and what came of it. */
    final class Viewer {
        final String name;
        final CompletableFuture<HttpResponse<String>> response;
        private final int gateway;

        private Viewer(String name, int gateway, String title, String plan) {
            this.name = name;
            this.gateway = gateway;
            String ask = name + "#" + asks++;
            long abandon = TimeUnit.SECONDS.toNanos(4);
            tape.put("player", "ask", "viewer", name, "ask", ask, "gateway", gateway, "title", title, "plan",
                plan.split("&")[0], "abandon", abandon);
            response = http.sendAsync(HttpRequest.newBuilder(URI.create(stage.gatewayUri(gateway) + "/play/" + title
                    + "/main.m3u8?plan=" + plan)).header("Prefer", "wait=4")
                .header("CMCD-Session", "sid=\"" + name + "\"").build(), HttpResponse.BodyHandlers.ofString());
            response.whenComplete((r, failure) -> {
                if (failure == null) {
                    tape.put("player", "answer", "ask", ask, "status", r.statusCode());
                } else if (!response.isCancelled()) {
                    tape.put("player", "no-answer", "ask", ask, "why", failure.toString());
                }
            });
        }

        int status() throws Exception {
            return response.get(PATIENCE_MS, TimeUnit.MILLISECONDS).statusCode();
        }

        /** The URI of the media playlist that the multivariant one names. */
        String media() throws Exception {
            String body = response.get(PATIENCE_MS, TimeUnit.MILLISECONDS).body();
            return stage.gatewayUri(gateway) + body.lines().filter(l -> !l.startsWith("#")).findFirst().orElseThrow();
        }

        /** Where the gateway sends the player for a segment; the status if it does not. */
        String segment(String file) throws Exception {
            HttpResponse<String> r = get(URI.create(media()).resolve(file).toString());
            return r.headers().firstValue("Location").orElse("" + r.statusCode());
        }
    }

    Viewer watch(String viewer, int gateway, String plan) {
        return new Viewer(viewer, gateway, plan.equals("air") ? "l0" : "r0", plan);
    }

    /** A viewer of a tenant. */
    Viewer watch(String viewer, int gateway, String plan, String tenant) {
        return new Viewer(viewer, gateway, plan.equals("air") ? "l0" : "r0", plan + "&tenant=" + tenant);
    }

    HttpResponse<String> get(String uri) throws Exception {
        return http.send(HttpRequest.newBuilder(URI.create(uri)).build(), HttpResponse.BodyHandlers.ofString());
    }

    HttpResponse<String> delete(String uri) throws Exception {
        return http.send(HttpRequest.newBuilder(URI.create(uri)).DELETE().build(),
            HttpResponse.BodyHandlers.ofString());
    }

    MediaHostServer host(long id) {
        return stage.hosts().get((int) id);
    }

    /** Waits for a record, past or to come, that fits. */
    TapeRecord await(String by, String kind, Predicate<TapeRecord> fits) throws InterruptedException {
        long until = System.nanoTime() + PATIENCE_MS * 1_000_000;
        synchronized (records) {
            int seen = 0;
            while (true) {
                for (; seen < records.size(); seen++) {
                    if (records.get(seen).is(by, kind) && fits.test(records.get(seen))) {
                        return records.get(seen);
                    }
                }
                long left = (until - System.nanoTime()) / 1_000_000;
                if (left <= 0) {
                    throw new AssertionError("no record " + by + "/" + kind + " in " + records);
                }
                records.wait(left);
            }
        }
    }

    List<TapeRecord> all(String by, String kind) {
        synchronized (records) {
            return records.stream().filter(r -> r.is(by, kind)).toList();
        }
    }

    /** Waits until a task on the gateway's loop has run after all that is there now. */
    <T> T onLoop(int gateway, java.util.function.Supplier<T> task) throws Exception {
        CompletableFuture<T> done = new CompletableFuture<>();
        stage.gateway(gateway).onLoop(() -> done.complete(task.get()));
        return done.get(PATIENCE_MS, TimeUnit.MILLISECONDS);
    }

    /** Waits until the gateway's core has that many hosts in a state. */
    void awaitHosts(int gateway, cypressvalve.model.MediaHost.State state, long count) throws Exception {
        long until = System.nanoTime() + PATIENCE_MS * 1_000_000;
        while (onLoop(gateway, () -> stage.gateway(gateway).core().hosts(state)) != count) {
            if (System.nanoTime() > until) {
                throw new AssertionError("never " + count + " hosts " + state);
            }
            Thread.onSpinWait();
        }
    }

    /** Waits until the gateway holds so many sessions that play. */
    void awaitPlaying(int gateway, long count) throws Exception {
        awaitHeld(gateway, cypressvalve.session.Session.State.PLAYING, count);
    }

    /** Waits until so many requests are open at the gateway. */
    void awaitOpening(int gateway, long count) throws Exception {
        awaitHeld(gateway, cypressvalve.session.Session.State.OPENING, count);
    }

    private void awaitHeld(int gateway, cypressvalve.session.Session.State state, long count) throws Exception {
        long until = System.nanoTime() + PATIENCE_MS * 1_000_000;
        while (onLoop(gateway, () -> stage.gateway(gateway).core()
            .held(state)) != count) {
            if (System.nanoTime() > until) {
                throw new AssertionError("never " + count + " " + state);
            }
            Thread.onSpinWait();
        }
    }

    /** What the judge finds on the tape so far, broken rules only. */
    Map<Integer, List<Finding>> broken() {
        Map<Integer, List<Finding>> found = new java.util.TreeMap<>(judge.finish());
        found.values().removeIf(List::isEmpty);
        return found;
    }

    @Override
    public void close() throws IOException {
        stage.close();
    }
}
