package cypressvalve.rehearsal;

import cypressvalve.standin.MediaHostServer;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.Locale;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicInteger;
import org.HdrHistogram.Histogram;

/**
 * Run by hand (bench/path), never by the tests: what the gateway adds to a set-up at the stand-in host, new sessions a
 * second, memory a held session, the loop's delay. Figures are of one process that holds all parts.
 */
final class PathBench {
    private static final int ROUNDS = 1500;
    private static final int WARM_UP = 500;
    private static final int HELD = 4000;
    private static final int IDLE = 9000;
    private static final HttpClient HTTP = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

    private PathBench() {
    }

    private static HttpResponse<String> send(HttpRequest.Builder request) throws Exception {
        return HTTP.send(request.build(), HttpResponse.BodyHandlers.ofString());
    }

    public static void main(String[] args) throws Exception {
        try (Scene scene = Scene.wide(1, 4)) {
            Histogram direct = new Histogram(3);
            Histogram through = new Histogram(3);
            Histogram work = new Histogram(3);
            scene.tape.also(new java.util.function.Consumer<>() {
                private final java.util.Map<String, Long> began = new java.util.HashMap<>();

                @Override
                public void accept(cypressvalve.tape.TapeRecord r) {
                    if (r.is("host", "setup")) {
                        began.put(r.text("session"), r.t());
                    } else if (r.is("host", "setup-end") && began.containsKey(r.text("session"))) {
                        work.recordValue(r.t() - began.remove(r.text("session")));
                    }
                }
            });
            String gateway = scene.stage.gatewayUri(0);
            for (int i = 0; i < WARM_UP + ROUNDS; i++) {
                MediaHostServer host = scene.host(i % 4);
                String base = "http://127.0.0.1:" + host.port() + "/sessions/b" + i + ".0";
                long t0 = System.nanoTime();
                send(HttpRequest.newBuilder(URI.create(base + "?title=r0&plan=plain&rung=0"))
                    .header("Cypressvalve-Gateway", "9").PUT(HttpRequest.BodyPublishers.noBody()));
                long t1 = System.nanoTime();
                HttpResponse<String> answer = send(HttpRequest.newBuilder(URI.create(gateway
                    + "/play/r0/main.m3u8?plan=plain")));
                long t2 = System.nanoTime();
                send(HttpRequest.newBuilder(URI.create(base)).DELETE());
                String media = answer.body().lines().filter(l -> l.startsWith("/s/")).findFirst().orElseThrow();
                send(HttpRequest.newBuilder(URI.create(gateway + media)).DELETE());
                if (i >= WARM_UP) {
                    direct.recordValue(t1 - t0);
                    through.recordValue(t2 - t1);
                }
            }
            print("straight at the host", direct);
            print("through the gateway", through);
            print("host's own work and timer", work);
            for (double p : new double[] {50, 99}) {
                double w = work.getValueAtPercentile(50);
                System.out.printf(Locale.ROOT, "ratio at p%.0f: %.2f, host work (median) excluded %.2f%n", p,
                    through.getValueAtPercentile(p) / (double) direct.getValueAtPercentile(p),
                    (through.getValueAtPercentile(p) - w) / Math.max(1, direct.getValueAtPercentile(p) - w));
            }
            many(scene, gateway);
        }
        try (Scene scene = Scene.wide(1, 1)) {
            idle(scene);
        }
        System.exit(0);
    }

    private static void many(Scene scene, String gateway) throws Exception {
        long before = used();
        Semaphore open = new Semaphore(64);
        AtomicInteger playing = new AtomicInteger();
        long began = System.nanoTime();
        for (int i = 0; i < HELD; i++) {
            open.acquire();
            HTTP.sendAsync(HttpRequest.newBuilder(URI.create(gateway + "/play/r0/main.m3u8?plan=plain")).build(),
                HttpResponse.BodyHandlers.ofString()).whenComplete((r, failure) -> {
                    if (failure == null && r.statusCode() == 200) {
                        playing.incrementAndGet();
                    }
                    open.release();
                });
        }
        open.acquire(64);
        double seconds = (System.nanoTime() - began) / 1e9;
        System.out.printf(Locale.ROOT, "%d asks at 64 at once: %.0f a second, %d playing%n", HELD, HELD / seconds,
            playing.get());
        long held = scene.onLoop(0, () -> scene.stage.gateway(0).core().held(cypressvalve.session.Session.State.PLAYING));
        System.out.printf(Locale.ROOT, "heap a held session, stand-in's part included: %.1f kB (%d held)%n",
            (used() - before) / 1000.0 / Math.max(1, held), held);
        scene.get(gateway + "/-/metrics").body().lines().filter(l -> l.contains("loop_delay") && l.contains("0.99"))
            .forEach(System.out::println);
    }

    /** Connections that send nothing, and a viewer among them. */
    private static void idle(Scene scene) throws Exception {
        long before = used();
        URI uri = URI.create(scene.stage.gatewayUri(0));
        java.util.List<java.net.Socket> sockets = new java.util.ArrayList<>();
        for (int i = 0; i < IDLE; i++) {
            java.net.Socket socket = new java.net.Socket(uri.getHost(), uri.getPort());
            socket.getOutputStream().write("GET /play/r0".getBytes(java.nio.charset.StandardCharsets.US_ASCII));
            sockets.add(socket);
        }
        long t0 = System.nanoTime();
        int status = scene.watch("among", 0, "plain").status();
        double took = (System.nanoTime() - t0) / 1e6;
        System.out.printf(Locale.ROOT, "%d half-open connections: %.1f kB heap each, both ends; a viewer among them "
            + "gets %d after %.1f ms%n", IDLE, (used() - before) / 1000.0 / IDLE, status, took);
        for (java.net.Socket socket : sockets) {
            socket.close();
        }
    }

    private static long used() throws InterruptedException {
        for (int i = 0; i < 3; i++) {
            System.gc();
            Thread.sleep(100);
        }
        return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
    }

    private static void print(String name, Histogram h) {
        System.out.printf(Locale.ROOT, "%s: p50 %.2f ms, p99 %.2f ms (%d)%n", name, h.getValueAtPercentile(50) / 1e6,
            h.getValueAtPercentile(99) / 1e6, h.getTotalCount());
    }
}
