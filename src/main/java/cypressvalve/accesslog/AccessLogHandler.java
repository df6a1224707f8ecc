package cypressvalve.accesslog;

import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.AttachmentKey;
import io.undertow.util.Headers;
import java.time.Instant;

/** Writes each request of a server into its access log when its answer is done. */
public final class AccessLogHandler implements HttpHandler {
    /** The session that a request belongs to, where a handler knows it. */
    public static final AttachmentKey<String> SESSION = AttachmentKey.create(String.class);

    private final HttpHandler next;
    private final AccessLog log;
    private final long offset;

    public AccessLogHandler(HttpHandler next, AccessLog log) {
        this.next = next;
        this.log = log;
        Instant wall = Instant.now();
        // A clock that is set while the server runs would make gaps in its log that nobody saw.
        offset = wall.getEpochSecond() * 1_000_000_000L + wall.getNano() - System.nanoTime();
    }

    @Override
    public void handleRequest(HttpServerExchange exchange) throws Exception {
        long began = System.nanoTime();
        exchange.addExchangeCompleteListener((done, then) -> {
            String query = done.getQueryString();
            log.put(new AccessLine(done.getSourceAddress().getAddress() == null ? ""
                : done.getSourceAddress().getAddress().getHostAddress(), began + offset, System.nanoTime() - began,
                done.getRequestMethod() + " " + done.getRequestURI() + (query.isEmpty() ? "" : "?" + query) + " "
                    + done.getProtocol(), done.getStatusCode(), done.getResponseBytesSent(),
                done.getRequestHeaders().getFirst(Headers.REFERER), done.getRequestHeaders().getFirst(Headers.USER_AGENT),
                done.getRequestHeaders().getFirst("CMCD-Session"), done.getAttachment(SESSION)));
            then.proceed();
        });
        next.handleRequest(exchange);
    }
}
