package cypressvalve.standin;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import cypressvalve.tape.Tape;
import io.undertow.Undertow;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.handlers.sse.ServerSentEventConnection;
import io.undertow.server.handlers.sse.ServerSentEventHandler;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;

/**
 * The list of media hosts as a service: it hears of changes late, numbers its versions and pushes them to each gateway
 * that follows it. A gateway that connects gets the whole list as it is published then, however old that is.
 */
public final class ListServer {
    private static final ObjectMapper JSON = new ObjectMapper();

    /** One host as listed. */
    public record Entry(long id, String uri, String state, double weight, long startedAt, int cell, String kind,
        String zone) { }

    private final Tape tape;
    private final XnioWorker worker;
    private final XnioIoThread thread;
    private final Undertow server;
    private final Map<Long, Entry> published = new LinkedHashMap<>();
    private final Map<Integer, ServerSentEventConnection> gateways = new LinkedHashMap<>();
    private long version;
    private volatile long stale;

    public ListServer(Tape tape) {
        this.tape = tape;
        try {
            worker = Xnio.getInstance().createWorker(OptionMap.builder().set(Options.WORKER_NAME, "list")
                .set(Options.WORKER_IO_THREADS, 1).set(Options.WORKER_TASK_CORE_THREADS, 1)
                .set(Options.WORKER_TASK_MAX_THREADS, 1).set(Options.THREAD_DAEMON, true).getMap());
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
        thread = worker.getIoThread();
        server = Undertow.builder().setWorker(worker).addHttpListener(0, "127.0.0.1", this::handle).build();
        server.start();
    }

    /** Where gateways follow it. */
    public String uri() {
        return "http://127.0.0.1:" + ((InetSocketAddress) server.getListenerInfo().get(0).getAddress()).getPort()
            + "/list";
    }

    /** A trouble: changes are published so many nanoseconds later than usual. */
    public void stale(long by) {
        stale = by;
    }

    /** Publishes changes after that delay and what staleness adds; from any thread. */
    public void change(Collection<Entry> entries, long delay) {
        List<Entry> changed = List.copyOf(entries);
        long millis = (delay + stale) / 1_000_000;
        if (millis <= 0) {
            thread.execute(() -> publish(changed));
        } else {
            thread.executeAfter(() -> publish(changed), millis, TimeUnit.MILLISECONDS);
        }
    }

    /** Sends every gateway a text in place of a version, as a broken service would; from any thread. */
    public void garble(String text) {
        thread.execute(() -> gateways.values().forEach(c -> c.send(text)));
    }

    /** Closes every gateway's stream, as a service that starts anew does; from any thread. */
    public void breakOff() {
        thread.execute(() -> List.copyOf(gateways.values()).forEach(org.xnio.IoUtils::safeClose));
    }

    /** Sends every gateway a whole list without any host; from any thread. */
    public void dropAll() {
        thread.execute(() -> {
            version++;
            gateways.forEach((gateway, connection) -> {
                published.values().forEach(e -> told(gateway, e.id(), "gone", 0));
                connection.send(text(List.of(), true));
            });
        });
    }

    /** Sends every gateway the whole list as it is published; from any thread. */
    public void republish() {
        thread.execute(() -> {
            version++;
            gateways.forEach((gateway, connection) -> {
                published.values().forEach(e -> told(gateway, e.id(), e.state(), e.startedAt()));
                connection.send(text(published.values(), true));
            });
        });
    }

    private void publish(Collection<Entry> changed) {
        version++;
        changed.forEach(e -> published.put(e.id(), e));
        gateways.forEach((gateway, connection) -> {
            changed.forEach(e -> told(gateway, e.id(), e.state(), e.startedAt()));
            connection.send(text(changed, false));
        });
    }

    private void told(int gateway, long host, String state, long startedAt) {
        tape.put("list", "told", "gateway", gateway, "host", host, "state", state, "startedAt", startedAt);
    }

    private String text(Collection<Entry> entries, boolean whole) {
        Map<String, Object> all = new LinkedHashMap<>();
        all.put("version", version);
        all.put("whole", whole);
        all.put("hosts", new ArrayList<>(entries));
        try {
            return JSON.writeValueAsString(all);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException(e);
        }
    }

    private void handle(HttpServerExchange exchange) throws Exception {
        String gateway = exchange.getQueryParameters().containsKey("gateway")
            ? exchange.getQueryParameters().get("gateway").peekFirst() : "";
        if (!exchange.getRequestPath().equals("/list") || !gateway.matches("[0-9]{1,6}")) {
            exchange.setStatusCode(404).endExchange();
            return;
        }
        int number = Integer.parseInt(gateway);
        new ServerSentEventHandler((connection, last) -> {
            gateways.put(number, connection);
            connection.addCloseTask(c -> thread.execute(() -> gateways.remove(number, c)));
            published.values().forEach(e -> told(number, e.id(), e.state(), e.startedAt()));
            connection.send(text(published.values(), true));
        }).handleRequest(exchange);
    }

    /** Stops for good. */
    public void close() {
        server.stop();
        worker.shutdownNow();
    }
}
