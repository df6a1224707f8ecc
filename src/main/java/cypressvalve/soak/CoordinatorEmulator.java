package cypressvalve.soak;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

/**
 * The platform's coordinator on loopback: numbered changes of the list of media hosts as server-sent events, and a comment a
 * second. It can fall silent with its streams open, or be down.
 */
public final class CoordinatorEmulator implements AutoCloseable {
    private static final int BACKLOG = 50;
    private static final long COMMENT_MILLIS = 1_000;
    private static final long SILENCE_POLL_MILLIS = 20;
    /** How long an event is awaited to be written to all streams. */
    private static final long PUBLISH_MILLIS = 200;
    private static final String LAST_EVENT_ID = "last-event-id:";

    /** After a move the open streams of the old address end so late. */
    private static final long MOVED_STREAMS_MILLIS = 1_500;

    private volatile ServerSocket listener = listener();
    private final Set<Socket> streams = ConcurrentHashMap.newKeySet();
    /** Streams that stay open and say nothing more. */
    private final Set<Socket> silenced = ConcurrentHashMap.newKeySet();
    /** The events after the first, which lists the hosts that there were at the start. */
    private final List<String> events = new ArrayList<>();
    /** The list as it is now, by instance id. */
    private final Map<String, ObjectNode> instances = new LinkedHashMap<>();
    private volatile boolean down;
    private volatile boolean closed;
    private volatile long answerDelayMillis;
    /** The number of the last event that was written to each stream. */
    private final Map<Socket, Integer> written = new HashMap<>();

    public CoordinatorEmulator() throws IOException {
        start(() -> accept(listener));
    }

    private static ServerSocket listener() throws IOException {
        return new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress());
    }

    /** Goes on at another address; the old one takes no connection and tells nothing, and its streams end a while later. */
    public void move() throws IOException, InterruptedException {
        Set<Socket> old = Set.copyOf(streams);
        ServerSocket before = listener;
        silenced.addAll(old);
        listener = listener();
        start(() -> accept(listener));
        before.close();
        start(() -> {
            try {
                TimeUnit.MILLISECONDS.sleep(MOVED_STREAMS_MILLIS);
                for (Socket stream : old) {
                    stream.close();
                }
            } catch (IOException e) {
                return; // Closed already.
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
    }

    /** How late new streams are answered, in milliseconds. */
    public void answerDelay(long millis) {
        answerDelayMillis = millis;
    }

    private static void start(Runnable task) {
        Thread thread = new Thread(task, "coordinator");
        thread.setDaemon(true);
        thread.start();
    }

    /** Where it listens. */
    public InetSocketAddress address() {
        return (InetSocketAddress) listener.getLocalSocketAddress();
    }

    /** Lists a media host from the start on. */
    public synchronized void list(MediaHostEmulator host, int cell) {
        list(host.name(), host.address(), cell);
    }

    /** The same for one that is a process of its own. */
    synchronized void list(String name, InetSocketAddress address, int cell) {
        instances.put(name, instance(name, address, cell, "SERVING", 0));
    }

    /**
     * Tells a change of one media host; its state is one of the protocol's. Returns once it was written to all streams that are
     * told anything: what stops them afterwards does not take it back.
     */
    public void publish(MediaHostEmulator host, int cell, String state) throws InterruptedException {
        publish(host, cell, state, 0);
    }

    /** @param startedAtMillis Unix time of its start, where it started late; else 0 */
    void publish(MediaHostEmulator host, int cell, String state, long startedAtMillis) throws InterruptedException {
        publish(host.name(), host.address(), cell, state, startedAtMillis);
    }

    /** The same for one that is a process of its own. */
    synchronized void publish(String name, InetSocketAddress address, int cell, String state, long startedAtMillis)
        throws InterruptedException {
        ObjectNode instance = instance(name, address, cell, state, startedAtMillis);
        int index = index() + 1;
        instances.put(name, instance);
        events.add("id: " + index + "\ndata: {\"index\":" + index + ",\"endpoints\":{\"generation\":" + index
            + ",\"reset\":false,\"instances\":[" + instance + "]}}\n\n");
        notifyAll();
        long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(PUBLISH_MILLIS);
        while (written.entrySet().stream().anyMatch(stream -> stream.getValue() < index && !silenced.contains(stream.getKey()))
            && System.nanoTime() < until) {
            wait(SILENCE_POLL_MILLIS);
        }
    }

    private synchronized void written(Socket stream, int index) {
        written.put(stream, index);
        notifyAll();
    }

    private synchronized void forget(Socket stream) {
        written.remove(stream);
    }

    /** The number of the last event. */
    private int index() {
        return events.size() + 1;
    }

    /** What a gateway that starts now is given: the whole list, and the number of the last event in it. */
    public synchronized ObjectNode known() {
        ObjectNode known = JsonNodeFactory.instance.objectNode().put("index", index());
        ObjectNode update = known.putArray("updates").addObject().put("generation", index()).put("reset", true);
        instances.values().forEach(update.putArray("instances")::add);
        return known;
    }

    private static ObjectNode instance(String name, InetSocketAddress address, int cell, String state, long startedAtMillis) {
        return JsonNodeFactory.instance.objectNode().put("instanceId", name)
            .put("hostPort", address.getAddress().getHostAddress() + ":" + address.getPort()).put("zone", "z")
            .put("machineType", "std").put("cell", cell).put("lifecycle", state).put("weight", 1)
            .put("startedAtMs", startedAtMillis);
    }

    /** The streams that are open now stay open and say nothing more, comments included. */
    public void silence() {
        silenced.addAll(streams);
    }

    /** Whether it ends all streams and new ones at once. */
    public void down(boolean on) throws IOException {
        down = on;
        for (Socket stream : on ? Set.copyOf(streams) : Set.<Socket>of()) {
            stream.close();
        }
    }

    private void accept(ServerSocket from) {
        while (!from.isClosed()) {
            try {
                Socket stream = from.accept();
                if (down) {
                    stream.close();
                } else {
                    streams.add(stream);
                    start(() -> serve(stream));
                }
            } catch (IOException e) {
                return; // Closed.
            }
        }
    }

    private void serve(Socket stream) {
        try (stream) {
            int next = lastEventId(stream) - 1;
            TimeUnit.MILLISECONDS.sleep(answerDelayMillis);
            OutputStream out = stream.getOutputStream();
            out.write("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
            written(stream, next + 1);
            while (!closed) {
                List<String> fresh = after(next);
                awaitSpeech(stream);
                next += fresh.size();
                out.write((fresh.isEmpty() ? ":\n\n" : String.join("", fresh)).getBytes(StandardCharsets.ISO_8859_1));
                written(stream, next + 1);
            }
        } catch (IOException | NumberFormatException e) {
            return; // The gateway has gone, or is no gateway.
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            forget(stream);
            streams.remove(stream);
            silenced.remove(stream);
        }
    }

    private static int lastEventId(Socket stream) throws IOException {
        BufferedReader in = new BufferedReader(new InputStreamReader(stream.getInputStream(), StandardCharsets.ISO_8859_1));
        int last = 1;
        for (String line = in.readLine(); line != null && !line.isEmpty(); line = in.readLine()) {
            if (line.toLowerCase(Locale.ROOT).startsWith(LAST_EVENT_ID)) {
                last = Integer.parseInt(line.substring(LAST_EVENT_ID.length()).strip());
            }
        }
        return last;
    }

    /** The events from that one on; none if none came within the time between comments. */
    private synchronized List<String> after(int next) throws InterruptedException {
        long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(COMMENT_MILLIS);
        while (events.size() <= next && System.nanoTime() < until) {
            TimeUnit.NANOSECONDS.timedWait(this, until - System.nanoTime()); // What is written to other streams wakes it, too.
        }
        return List.copyOf(events.subList(Math.min(next, events.size()), events.size()));
    }

    private void awaitSpeech(Socket stream) throws InterruptedException {
        while (silenced.contains(stream) && !stream.isClosed()) {
            TimeUnit.MILLISECONDS.sleep(SILENCE_POLL_MILLIS);
        }
    }

    @Override
    public void close() throws IOException {
        closed = true;
        listener.close();
        for (Socket stream : streams) {
            stream.close();
        }
    }
}
