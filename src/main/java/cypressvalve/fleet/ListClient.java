package cypressvalve.fleet;

import static net.logstash.logback.argument.StructuredArguments.kv;

import cypressvalve.fleet.membership.ListVersion;
import cypressvalve.net.EventReader;
import cypressvalve.net.HttpCaller;
import io.undertow.client.ClientExchange;
import io.undertow.util.Methods;
import java.net.URI;
import java.nio.ByteBuffer;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.IoUtils;
import org.xnio.XnioIoThread;

/** The list service's stream of versions, followed for as long as the gateway lives; the last good one stands. */
public final class ListClient implements ListFollower {
    private static final Logger LOG = LoggerFactory.getLogger(ListClient.class);
    private static final int MOST_EVENT = 16 << 20;
    /** A list service that starts anew is asked again soon, one that stays away not faster than each few seconds. */
    private static final long FIRST_RETRY = 100;
    private static final long LAST_RETRY = 3_000;

    private final XnioIoThread thread;
    private final HttpCaller caller;
    private final String base;
    private final String path;
    private final int cells;
    private final Set<String> kinds;
    private final Random spread = new Random();
    private Taker taker;
    private long last = -1;
    private long retry = FIRST_RETRY;
    private ClientExchange open;
    private boolean closed;

    /** Takes the versions that may be acted on. */
    public interface Taker {
        void listed(ListVersion version);

        void failed();
    }

    /** @param uri where the list service streams its versions */
    public ListClient(XnioIoThread thread, HttpCaller caller, URI uri, int gateway, int cells, Set<String> kinds) {
        this.thread = thread;
        this.caller = caller;
        base = uri.getScheme() + "://" + uri.getHost() + ":" + uri.getPort();
        path = uri.getPath() + "?gateway=" + gateway;
        this.cells = cells;
        this.kinds = kinds;
    }

    /** Begins to follow the list; on the gateway's loop. */
    public void start(Taker to) {
        taker = to;
        connect();
    }

    private void connect() {
        caller.send(base, Methods.GET, path, Map.of(), TimeUnit.SECONDS.toNanos(2), (outcome, exchange) -> {
            if (closed || exchange == null || exchange.getResponse().getResponseCode() != 200) {
                IoUtils.safeClose(exchange == null ? null : exchange.getConnection());
                again();
                return;
            }
            open = exchange;
            retry = FIRST_RETRY;
            EventReader events = new EventReader(MOST_EVENT, this::take);
            caller.read(exchange, new HttpCaller.Stream() {
                @Override
                public void bytes(ByteBuffer data) {
                    events.take(data);
                }

                @Override
                public void closed() {
                    IoUtils.safeClose(exchange.getConnection());
                    if (!closed) {
                        thread.execute(ListClient.this::again);
                    }
                }
            });
        });
    }

    private void again() {
        if (!closed) {
            taker.failed();
            thread.executeAfter(this::connect, retry / 2 + spread.nextInt((int) retry), TimeUnit.MILLISECONDS);
            retry = Math.min(LAST_RETRY, retry * 2);
        }
    }

    private void take(String text) {
        try {
            ListVersion version = ListVersion.read(text, cells, kinds);
            if (version.follows(last)) {
                last = version.version();
                taker.listed(version);
            } else {
                LOG.warn("list version passed over {} {}", kv("version", version.version()), kv("last", last));
            }
        } catch (ListVersion.Refused e) {
            LOG.error("list version refused {}", kv("why", e.getMessage()));
        }
    }

    @Override
    public void follow(boolean on) {
        // This source pushes from the start; there is nothing to ask for.
    }

    @Override
    public void fetch() {
        IoUtils.safeClose(open == null ? null : open.getConnection()); // Each new stream opens with the whole list.
    }

    /** Follows no longer. */
    public void close() {
        closed = true;
        IoUtils.safeClose(open == null ? null : open.getConnection());
    }
}
