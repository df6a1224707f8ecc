package cypressvalve.front.hls;

import com.fasterxml.jackson.databind.ObjectMapper;
import cypressvalve.accesslog.AccessLogHandler;
import cypressvalve.config.Service;
import cypressvalve.entitlement.Door;
import cypressvalve.entitlement.Refusal;
import cypressvalve.entitlement.Terms;
import cypressvalve.entitlement.TokenReader;
import cypressvalve.net.HangUp;
import cypressvalve.session.Answer;
import cypressvalve.session.Ask;
import cypressvalve.session.Session;
import cypressvalve.session.SessionCore;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import io.undertow.util.Methods;
import io.undertow.util.SameThreadExecutor;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/**
 * HLS over HTTP on the core's loop: a request for a title's multivariant playlist is a request to watch; playlists
 * and segments under the session's own path follow it. It decides nothing.
 */
public final class HlsFront implements HttpHandler {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final String PLAYLIST = "application/vnd.apple.mpegurl";
    private static final HttpString PREFERENCE_APPLIED = new HttpString("Preference-Applied");
    private static final HttpString ALLOW_ORIGIN = new HttpString("Access-Control-Allow-Origin");
    private static final HttpString ALLOW_METHODS = new HttpString("Access-Control-Allow-Methods");
    private static final HttpString ALLOW_HEADERS = new HttpString("Access-Control-Allow-Headers");
    private static final HttpString EXPOSE_HEADERS = new HttpString("Access-Control-Expose-Headers");
    private static final long SECOND = 1_000_000_000L;

    private final SessionCore core;
    private final Service service;
    private final SessionUris uris;
    private final long expiry;
    private final Door door;

    /**
     * @param expiry nanoseconds for which a session's URIs hold
     * @param door where viewers' tokens are looked at, null where none is needed
     */
    public HlsFront(SessionCore core, Service service, SessionUris uris, long expiry, Door door) {
        this.service = service;
        this.door = door;
        this.core = core;
        this.uris = uris;
        this.expiry = expiry;
    }

    @Override
    public void handleRequest(HttpServerExchange exchange) {
        exchange.getResponseHeaders().put(ALLOW_ORIGIN, "*").put(EXPOSE_HEADERS, "Retry-After")
            .put(Headers.CACHE_CONTROL, "no-store");
        String[] parts = exchange.getRequestPath().split("/", -1);
        if (exchange.getRequestMethod().equals(Methods.OPTIONS)) {
            exchange.getResponseHeaders().put(ALLOW_METHODS, "GET, PUT, DELETE").put(ALLOW_HEADERS,
                "Authorization, Prefer, CMCD-Session, CMCD-Request, CMCD-Object, CMCD-Status");
            exchange.setStatusCode(204).endExchange();
        } else if (parts.length == 4 && parts[1].equals("play") && parts[3].equals("main.m3u8")) {
            if (only(exchange, Methods.GET)) {
                watch(exchange, parts[2]);
            }
        } else if (parts.length == 7 && parts[1].equals("s")) {
            inSession(exchange, parts);
        } else {
            problem(exchange, 404, "nothing lies here", Map.of());
        }
    }

    private boolean only(HttpServerExchange exchange, HttpString method) {
        if (exchange.getRequestMethod().equals(method)) {
            return true;
        }
        exchange.getResponseHeaders().put(Headers.ALLOW, method.toString());
        problem(exchange, 405, "expected " + method, Map.of());
        return false;
    }

    private void watch(HttpServerExchange exchange, String title) {
        Map<String, String> query = new HashMap<>();
        for (Map.Entry<String, Deque<String>> field : exchange.getQueryParameters().entrySet()) {
            query.put(field.getKey(), field.getValue().peekFirst());
        }
        Ask ask;
        String prefer = exchange.getRequestHeaders().getFirst(new HttpString("Prefer"));
        try {
            ask = AskReader.read(service, title, query, prefer,
                exchange.getRequestHeaders().getFirst(new HttpString("CMCD-Session")));
        } catch (AskReader.Refused e) {
            problem(exchange, e.status(), e.getMessage(), Map.of());
            return;
        }
        if (door != null) {
            try {
                ask = ask.with(door.admit(bearer(exchange), wanted(ask)));
            } catch (TokenReader.Refused e) {
                unentitled(exchange, e.why());
                return;
            }
        }
        Ask entitled = ask;
        if (prefer != null && AskReader.wait(prefer, 0) > 0) {
            exchange.getResponseHeaders().put(PREFERENCE_APPLIED, "wait=" + ask.patience() / SECOND);
        }
        exchange.dispatch(SameThreadExecutor.INSTANCE, () -> {
            Waiting waiting = new Waiting(exchange);
            waiting.session = core.ask(entitled, waiting);
            waiting.watch();
        });
    }

    private Terms.Wanted wanted(Ask ask) {
        return new Terms.Wanted(ask.tenant(), ask.plan(), ask.title(), core.clock().now());
    }

    /** The token of a request: Authorization, or the query where a player can't set fields (RFC 6750, section 2). */
    private static String bearer(HttpServerExchange exchange) {
        String field = exchange.getRequestHeaders().getFirst(Headers.AUTHORIZATION);
        if (field != null) {
            return field.regionMatches(true, 0, "Bearer ", 0, 7) ? field.substring(7).strip() : "";
        }
        Deque<String> query = exchange.getQueryParameters().get("access_token");
        return query == null ? "" : query.peekFirst();
    }

    private void unentitled(HttpServerExchange exchange, Refusal why) {
        String error = why == Refusal.MISSING ? "" : " error=\"" + (why.anotherTokenHelps() ? "invalid_token"
            : "insufficient_scope") + "\"";
        exchange.getResponseHeaders().put(Headers.WWW_AUTHENTICATE, "Bearer" + error);
        problem(exchange, why.anotherTokenHelps() ? 401 : 403, "not entitled: " + why.name().toLowerCase(Locale.ROOT),
            Map.of());
    }

    private void renew(HttpServerExchange exchange, Session session) {
        if (door == null || session.ask().grant() == null) {
            problem(exchange, 404, "this session holds no token", Map.of());
            return;
        }
        try {
            core.renewed(session, door.renew(session.ask().grant().token(), bearer(exchange), wanted(session.ask()))
                .endsAt());
            exchange.setStatusCode(204).endExchange();
        } catch (TokenReader.Refused e) {
            unentitled(exchange, e.why());
        }
    }

    /** One HTTP request that waits for the core's answer. */
    private final class Waiting implements Answer {
        private final HttpServerExchange exchange;
        private Session session;
        private boolean answered;
        private HangUp hangUp;

        private Waiting(HttpServerExchange exchange) {
            this.exchange = exchange;
        }

        private void watch() {
            if (!answered && session != null) {
                hangUp = HangUp.watch(exchange, () -> {
                    if (!answered) {
                        answered = true;
                        core.hungUp(session, this);
                        exchange.endExchange();
                    }
                });
            }
        }

        private boolean first() {
            if (answered) {
                return false;
            }
            answered = true;
            if (hangUp != null) {
                hangUp.stop();
            }
            return true;
        }

        @Override
        public void playing(Session plays) {
            if (first()) {
                exchange.putAttachment(AccessLogHandler.SESSION, plays.id());
                long expires = (core.clock().now() + expiry) / SECOND;
                String path = uris.path(new SessionUris.Named(plays.ask().title(), plays.id(), expires));
                double top = plays.rate(plays.highestRung()) * 8000;
                send(exchange, Playlists.multivariant(path + "/media.m3u8",
                    Math.round(top * service.peak()), Math.round(top)));
            }
        }

        @Override
        public void rejected(long comeBackIn) {
            if (first()) {
                // Retry-After has whole seconds (RFC 9110, section 10.2.3): never sooner than Control said.
                exchange.getResponseHeaders().put(Headers.RETRY_AFTER, Math.max(1, (comeBackIn + SECOND - 1) / SECOND));
                problem(exchange, 503, "no room for this playback now", Map.of("comeBackMs", comeBackIn / 1_000_000));
            }
        }

        @Override
        public void failed() {
            if (first()) {
                problem(exchange, 504, "the set-up gave no answer in time; it may have run", Map.of());
            }
        }
    }

    private void inSession(HttpServerExchange exchange, String[] parts) {
        SessionUris.Named named = uris.verified(parts[2], parts[3], parts[4], parts[5],
            core.clock().now() / SECOND);
        if (named == null || !core.mine(named.session())) {
            problem(exchange, 403, "not a session's URI of this gateway, or expired", Map.of());
            return;
        }
        exchange.putAttachment(AccessLogHandler.SESSION, named.session());
        Session session = core.session(named.session());
        if (session == null || session.state() != Session.State.PLAYING) {
            problem(exchange, 410, "this session is over; ask to watch again", Map.of());
        } else if (exchange.getRequestMethod().equals(Methods.DELETE)) {
            core.end(session);
            exchange.setStatusCode(204).endExchange();
        } else if (exchange.getRequestMethod().equals(Methods.PUT) && parts[6].equals("token")) {
            renew(exchange, session);
        } else if (only(exchange, Methods.GET)) {
            core.seen(session);
            if (parts[6].equals("media.m3u8")) {
                send(exchange, media(session));
            } else {
                segment(exchange, session, parts[6]);
            }
        }
    }

    private String media(Session session) {
        Service.TitleRow title = service.titles().get(session.ask().title());
        return title.live() ? Playlists.live(core.clock().now(), service.segment(), service.window())
            : Playlists.recorded(title.length(), service.segment());
    }

    /** A segment's bytes never pass here: the player is sent to the host and rung in force at this moment. */
    private void segment(HttpServerExchange exchange, Session session, String name) {
        if (!name.matches("[0-9]{1,18}\\.ts")) {
            problem(exchange, 404, "nothing lies here", Map.of());
            return;
        }
        long number = Long.parseLong(name.substring(0, name.length() - 3));
        Service.TitleRow title = service.titles().get(session.ask().title());
        long segment = service.segment();
        boolean there = title.live() ? number <= Playlists.edge(core.clock().now(), segment)
            : number < Playlists.segments(title.length(), segment);
        if (!there) {
            problem(exchange, 404, "no such segment, or not yet", Map.of());
            return;
        }
        exchange.getResponseHeaders().put(Headers.LOCATION, session.host().base() + "/media/" + session.hostSession()
            + "/" + session.rung() + "/" + name);
        exchange.setStatusCode(302).endExchange();
    }

    private static void send(HttpServerExchange exchange, String playlist) {
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, PLAYLIST);
        exchange.getResponseSender().send(playlist);
    }

    /** Problem details (RFC 9457). */
    private static void problem(HttpServerExchange exchange, int status, String detail, Map<String, Object> more) {
        Map<String, Object> body = new LinkedHashMap<>();
        body.put("status", status);
        body.put("title", io.undertow.util.StatusCodes.getReason(status));
        body.put("detail", detail);
        body.putAll(more);
        exchange.setStatusCode(status);
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/problem+json");
        try {
            exchange.getResponseSender().send(JSON.writeValueAsString(body));
        } catch (com.fasterxml.jackson.core.JsonProcessingException e) {
            throw new IllegalStateException(e);
        }
    }
}
