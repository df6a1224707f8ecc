package cypressvalve.standin;

import cypressvalve.tape.Tape;
import java.net.ConnectException;
import java.net.URI;
import java.net.URLEncoder;
import java.net.http.HttpClient;
import java.net.http.HttpConnectTimeoutException;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.IntSupplier;
import java.util.random.RandomGenerator;

/**
 * A viewer's player: asks a gateway for a playlist of its own, fetches segments no faster than it plays, leaves when
 * it has seen enough or is starved, and comes again as people do. Its HTTP is the JDK's, not the gateway's library.
 */
public final class Player {
    private static final long SECOND = 1_000_000_000L;
    /** A custom key of CMCD (CTA-5004, section 3.2): the session that a viewer first came with. */
    private static final String FIRST = "org.cypressvalve-first";

    /** What all players share. */
    public record World(HttpClient http, ScheduledExecutorService timers, Tape tape, IntSupplier gateway,
        java.util.function.IntFunction<String> gatewayUri, RandomGenerator chance, Habits habits, long segment) { }

    /**
     * How viewers behave; times in nanoseconds.
     *
     * @param returns share of those who come again after a break or a rejection
     * @param honour share of those who heed a time to come back
     * @param buffer seconds of content that a player keeps ahead
     * @param starve time without a new segment, beyond the buffer, after which a viewer leaves
     * @param silent share of viewers who leave without a word
     */
    public record Habits(double returns, long comeLeast, long comeMost, double honour, double buffer, long starve,
        double silent, int retries) {

        /**
         * When a viewer who was turned away or broken off asks again: most do, some heed the time that they were given.
         *
         * @param asks requests so far
         * @param retryAfter seconds that it was told, below 1 for none
         * @return nanoseconds from now, or -1 if it stays away
         */
        public long comesAgainIn(int asks, long retryAfter, RandomGenerator chance) {
            if (asks > retries || chance.nextDouble() >= returns) {
                return -1;
            }
            long wait = comeLeast + (long) (chance.nextDouble() * (comeMost - comeLeast));
            return retryAfter > 0 && chance.nextDouble() < honour ? Math.max(wait, retryAfter * SECOND) : wait;
        }
    }

    /** One viewer: what it wants, for how long. The hint is seconds, 0 for none. */
    public record Viewer(String name, String title, String plan, String tenant, int screen, boolean live, long length,
        long hint, long abandon) { }

    private final World world;
    private final Viewer viewer;
    private final String sid = UUID.randomUUID().toString();
    private long until;
    private int asks;
    private int lives;
    private long nextSegment = -1;
    private long liveEdge;
    private double watched;
    private String base;
    private String media;
    private long playBegan;
    /** When what was fetched has all been played; 0 before the first segment. */
    private long runsOut;
    private boolean over;
    /** Counts its requests made anew from outside: what was begun before is let go. */
    private int turn;
    private List<String> segments = List.of();

    public Player(World world, Viewer viewer) {
        this.world = world;
        this.viewer = viewer;
    }

    /** Begins to ask; everything after runs on the world's timers. */
    public void start() {
        world.timers().execute(this::ask);
    }

    /** Asks now, on the world's timers' thread: for the first time, or once more whatever became of the last time. */
    public void ask() {
        boolean again = asks > 0;
        if (again) {
            end();
            lives++;
        }
        turn++;
        over = false;
        watched = 0;
        until = System.nanoTime() + viewer.length() + viewer.abandon();
        ask(again);
    }

    /** Whether it neither plays nor waits for an answer. */
    public boolean over() {
        return over;
    }

    /** Goes on with a session that plays already; its media playlist lies at the path on that gateway. */
    public void resume(int gateway, String path) {
        world.timers().execute(() -> {
            base = world.gatewayUri().apply(gateway);
            media = base + path;
            playBegan = System.nanoTime();
            until = playBegan + viewer.length() + viewer.abandon();
            put("resumed", "gateway", gateway);
            refresh();
        });
    }

    private void put(String kind, Object... fields) {
        Object[] all = new Object[fields.length + 2];
        all[0] = "viewer";
        all[1] = viewer.name();
        System.arraycopy(fields, 0, all, 2, fields.length);
        world.tape().put("player", kind, all);
    }

    private static String encoded(String text) {
        return URLEncoder.encode(text, StandardCharsets.UTF_8);
    }

    private void ask(boolean again) {
        if (over || System.nanoTime() > until) {
            return;
        }
        int gateway = world.gateway().getAsInt();
        int mine = turn;
        String id = viewer.name() + "#" + asks++;
        String uri = world.gatewayUri().apply(gateway);
        long began = System.nanoTime();
        put("ask", "ask", id, "gateway", gateway, "title", viewer.title(), "plan", viewer.plan(), "tenant",
            viewer.tenant(), "sid", sid + "-" + lives, "abandon", viewer.abandon(), "again", again);
        if (uri == null) {
            put("unreached", "ask", id);
            comeAgain(-1);
            return;
        }
        HttpRequest request = HttpRequest.newBuilder(URI.create(uri + "/play/" + viewer.title() + "/main.m3u8?plan="
                + encoded(viewer.plan()) + "&tenant=" + encoded(viewer.tenant()) + "&screen=" + viewer.screen()
                + (viewer.hint() > 0 ? "&hint=" + viewer.hint() : "")))
            .header("Prefer", "wait=" + viewer.abandon() / SECOND)
            .header("CMCD-Session", "sid=\"" + sid + "-" + lives + "\""
                + (lives > 0 ? "," + FIRST + "=\"" + sid + "-0\"" : ""))
            .timeout(Duration.ofNanos(viewer.abandon() + SECOND / 2)).build();
        world.http().sendAsync(request, HttpResponse.BodyHandlers.ofString())
            .whenCompleteAsync((response, failure) -> {
                long took = System.nanoTime() - began;
                if (failure != null) {
                    boolean reached = !(cause(failure) instanceof ConnectException
                        || cause(failure) instanceof HttpConnectTimeoutException);
                    put(reached ? "no-answer" : "unreached", "ask", id, "why", String.valueOf(cause(failure)));
                    if (mine == turn) {
                        comeAgain(-1);
                    }
                    return;
                }
                put("answer", "ask", id, "status", response.statusCode(), "took", took);
                if (mine != turn) {
                    return;
                }
                if (response.statusCode() == 200) {
                    put("manifest", "uri", request.uri().toString(), "text", response.body());
                    playing(uri, response.body());
                } else {
                    comeAgain(response.headers().firstValueAsLong("Retry-After").orElse(-1));
                }
            }, world.timers());
    }

    private static Throwable cause(Throwable failure) {
        return failure instanceof CompletionException && failure.getCause() != null ? failure.getCause() : failure;
    }

    private void comeAgain(long retryAfter) {
        lives++;
        long wait = over ? -1 : world.habits().comesAgainIn(asks, retryAfter, world.chance());
        if (wait < 0) {
            put("stays-away");
            over = true;
            return;
        }
        world.timers().schedule(() -> ask(true), wait, TimeUnit.NANOSECONDS);
    }

    private void playing(String uri, String master) {
        base = uri;
        String variant = lines(master).stream().findFirst().orElse(null);
        if (variant == null) {
            put("bad-manifest");
            comeAgain(-1);
            return;
        }
        media = URI.create(base).resolve(variant).toString();
        playBegan = System.nanoTime();
        runsOut = 0;
        nextSegment = -1;
        refresh();
    }

    private static List<String> lines(String playlist) {
        return playlist.lines().filter(l -> !l.isBlank() && !l.startsWith("#")).toList();
    }

    private CompletableFuture<HttpResponse<String>> get(String uri) {
        return world.http().sendAsync(HttpRequest.newBuilder(URI.create(uri))
            .timeout(Duration.ofNanos(world.habits().starve())).build(), HttpResponse.BodyHandlers.ofString());
    }

    private void refresh() {
        int mine = turn;
        if (media == null) {
            return;
        }
        get(media).whenCompleteAsync((response, failure) -> {
            if (over || mine != turn) {
                return;
            }
            if (failure != null || response.statusCode() != 200) {
                broken(failure != null ? "gateway" : "status-" + response.statusCode());
                return;
            }
            put("manifest", "uri", media, "text", response.body());
            long first = response.body().lines().filter(l -> l.startsWith("#EXT-X-MEDIA-SEQUENCE:"))
                .mapToLong(l -> Long.parseLong(l.substring(l.indexOf(':') + 1).trim())).findFirst().orElse(0);
            segments = new ArrayList<>(lines(response.body()));
            liveEdge = first;
            if (nextSegment < 0) {
                // A live player starts three segments behind the newest (RFC 8216, section 6.3.3).
                nextSegment = viewer.live() ? first + Math.max(0, segments.size() - 3) : first;
            }
            nextSegment = Math.max(nextSegment, first);
            fetch();
        }, world.timers());
    }

    private void fetch() {
        int mine = turn;
        if (over) {
            return;
        }
        double played = (System.nanoTime() - playBegan) / (double) SECOND;
        double want = viewer.length() / (double) SECOND;
        if (played >= want || watched >= want) {
            leave();
            return;
        }
        long index = nextSegment - liveEdge;
        if (index >= segments.size()) {
            if (viewer.live()) {
                world.timers().schedule(() -> goOn(mine, this::refresh), world.segment() / 2, TimeUnit.NANOSECONDS);
            } else {
                leave();
            }
            return;
        }
        if (runsOut > 0 && runsOut - System.nanoTime() > world.habits().buffer() * SECOND) {
            world.timers().schedule(() -> goOn(mine, this::fetch), world.segment() / 4, TimeUnit.NANOSECONDS);
            return;
        }
        String uri = URI.create(media).resolve(segments.get((int) index)).toString();
        long began = System.nanoTime();
        HttpRequest request = HttpRequest.newBuilder(URI.create(uri))
            .timeout(Duration.ofNanos(world.habits().starve())).build();
        world.http().sendAsync(request, HttpResponse.BodyHandlers.discarding())
            .whenCompleteAsync((response, failure) -> {
                if (mine != turn) {
                    return;
                }
                if (failure != null || response.statusCode() != 302) {
                    broken(failure != null ? "gateway" : "status-" + response.statusCode());
                    return;
                }
                bytes(response.headers().firstValue("Location").orElse(""), began);
            }, world.timers());
    }

    private void goOn(int mine, Runnable what) {
        if (mine == turn) {
            what.run();
        }
    }

    private void bytes(String location, long began) {
        int mine = turn;
        AtomicLong count = new AtomicLong();
        HttpRequest request = HttpRequest.newBuilder(URI.create(location)).build();
        CompletableFuture<HttpResponse<Void>> transfer = world.http().sendAsync(request,
            HttpResponse.BodyHandlers.ofByteArrayConsumer(b -> b.ifPresent(x -> count.addAndGet(x.length))));
        // A viewer does not wait for one segment for ever: the buffer, and then its patience.
        var starved = world.timers().schedule(() -> transfer.cancel(true),
            world.habits().starve() + (long) (world.habits().buffer() * SECOND), TimeUnit.NANOSECONDS);
        transfer.whenCompleteAsync((response, failure) -> {
            starved.cancel(false);
            if (over || mine != turn) {
                return;
            }
            String rung = location.split("/").length > 5 ? location.split("/")[5] : "";
            if (failure != null || response.statusCode() != 200) {
                broken(failure != null ? "media" : "media-status-" + response.statusCode());
                return;
            }
            long now = System.nanoTime();
            long late = runsOut == 0 ? 0 : Math.max(0, now - runsOut);
            runsOut = Math.max(now, runsOut) + world.segment();
            put("segment", "from", location.substring(0, location.indexOf("/media")), "rung", rung,
                "bytes", count.get(), "took", now - began, "late", late);
            watched += world.segment() / (double) SECOND;
            nextSegment++;
            fetch();
        }, world.timers());
    }

    private void broken(String why) {
        if (!over) {
            put("broken", "why", why);
            long left = until - viewer.abandon() - System.nanoTime();
            if (left <= 0) {
                over = true;
                return;
            }
            end();
            comeAgain(-1);
        }
    }

    private void leave() {
        over = true;
        put("seen");
        if (world.chance().nextDouble() >= world.habits().silent()) {
            end();
        }
    }

    private void end() {
        if (media != null) {
            HttpRequest request = HttpRequest.newBuilder(URI.create(media)).DELETE()
                .timeout(Duration.ofSeconds(2)).build();
            world.http().sendAsync(request, HttpResponse.BodyHandlers.discarding());
            media = null;
        }
    }
}
