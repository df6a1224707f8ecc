package cypressvalve.net;

import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
import io.undertow.client.ClientExchange;
import io.undertow.client.ClientRequest;
import io.undertow.client.UndertowClient;
import io.undertow.connector.ByteBufferPool;
import io.undertow.server.DefaultByteBufferPool;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import java.io.IOException;
import java.net.URI;
import java.nio.ByteBuffer;
import java.nio.channels.Channel;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.xnio.ChannelListener;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;
import org.xnio.channels.StreamSourceChannel;

/**
 * Small HTTP calls without bodies from one I/O thread, over kept connections. Each call has one result, told on the
 * thread and never before {@link #send} has returned. It knows whether bytes can have left, and says so.
 */
public final class HttpCaller {
    /** How a call ended. */
    public enum Outcome { ANSWERED, NO_CONNECTION, BROKEN, TIMED_OUT, TAKEN_BACK, NEVER_SENT }

    /** The result of a call; the exchange is null unless it was answered. */
    public interface Result {
        void done(Outcome outcome, ClientExchange exchange);
    }

    /** Takes what a stream brings, and its end. */
    public interface Stream {
        void bytes(ByteBuffer data);

        void closed();
    }

    private final XnioIoThread thread;
    private final long connectTimeout;
    private final int mostIdle;
    private final ByteBufferPool buffers = new DefaultByteBufferPool(true, 4096, 100, 2);
    private final Map<String, ArrayDeque<ClientConnection>> idle = new HashMap<>();
    private boolean closed;

    /**
     * @param connectTimeout nanoseconds for a connection to come about
     * @param mostIdle idle connections kept to each address
     */
    public HttpCaller(XnioIoThread thread, long connectTimeout, int mostIdle) {
        this.thread = thread;
        this.connectTimeout = connectTimeout;
        this.mostIdle = mostIdle;
    }

    /** A call out on its way. */
    public final class Call {
        private final Result result;
        private final String base;
        private ClientConnection connection;
        private XnioExecutor.Key timer;
        private final Runnable left;
        private boolean sent;
        private boolean done;
        private boolean leftTold;

        private Call(String base, Runnable left, Result result) {
            this.left = left;
            this.base = base;
            this.result = result;
        }

        /** Runs what waits for the request to leave, after what is being written now. */
        private void left() {
            if (!leftTold && !closed) {
                leftTold = true;
                thread.execute(left);
            }
        }

        /** Stops waiting: the result is TAKEN_BACK, or NEVER_SENT if no byte can have left. */
        public void takeBack() {
            finish(sent ? Outcome.TAKEN_BACK : Outcome.NEVER_SENT, null);
        }

        private void finish(Outcome outcome, ClientExchange exchange) {
            if (done) {
                return;
            }
            done = true;
            if (timer != null) {
                timer.remove();
            }
            left();
            if (exchange == null) {
                IoUtils.safeClose(connection);
            }
            if (!closed) {
                thread.execute(() -> result.done(outcome, exchange));
            }
        }
    }

    /**
     * Sends a request without a body.
     *
     * @param base scheme, host and port
     * @param maxWait nanoseconds until the answer's head must be there
     */
    public Call send(String base, HttpString method, String path, Map<HttpString, String> headers, long maxWait,
        Result result) {
        return send(base, method, path, headers, maxWait, () -> { }, result);
    }

    /**
     * Sends a request without a body.
     *
     * @param left told once, when the request was handed to its connection or the call ended without that: what is sent
     *     after it can't overtake a connection that is still to come about
     */
    public Call send(String base, HttpString method, String path, Map<HttpString, String> headers, long maxWait,
        Runnable left, Result result) {
        Call call = new Call(base, left, result);
        if (closed) {
            call.finish(Outcome.NEVER_SENT, null);
            return call;
        }
        ClientRequest request = new ClientRequest().setMethod(method).setPath(path);
        request.getRequestHeaders().put(Headers.HOST, base.substring(base.indexOf("//") + 2));
        headers.forEach((name, value) -> request.getRequestHeaders().put(name, value));
        ClientConnection kept = take(base);
        if (kept != null) {
            call.timer = thread.executeAfter(() -> call.finish(Outcome.TIMED_OUT, null), millis(maxWait),
                TimeUnit.MILLISECONDS);
            call.connection = kept;
            write(call, request);
            return call;
        }
        long began = System.nanoTime();
        call.timer = thread.executeAfter(() -> call.finish(Outcome.NO_CONNECTION, null),
            millis(Math.min(maxWait, connectTimeout)), TimeUnit.MILLISECONDS);
        UndertowClient.getInstance().connect(new ClientCallback<>() {
            @Override
            public void completed(ClientConnection connection) {
                if (call.done) {
                    IoUtils.safeClose(connection);
                    return;
                }
                call.timer.remove();
                call.connection = connection;
                long left = maxWait - (System.nanoTime() - began);
                if (left <= 0) {
                    call.finish(Outcome.NO_CONNECTION, null);
                    return;
                }
                call.timer = thread.executeAfter(() -> call.finish(Outcome.TIMED_OUT, null), millis(left),
                    TimeUnit.MILLISECONDS);
                write(call, request);
            }

            @Override
            public void failed(IOException e) {
                call.finish(Outcome.NO_CONNECTION, null);
            }
        }, URI.create(base), thread, buffers, OptionMap.EMPTY);
        return call;
    }

    private static long millis(long nanos) {
        return Math.max(1, (nanos + 999_999) / 1_000_000);
    }

    private ClientConnection take(String base) {
        ArrayDeque<ClientConnection> kept = idle.get(base);
        while (kept != null && !kept.isEmpty()) {
            ClientConnection connection = kept.pop();
            if (connection.isOpen()) {
                return connection;
            }
            IoUtils.safeClose(connection);
        }
        return null;
    }

    private void write(Call call, ClientRequest request) {
        call.sent = true;
        call.left();
        call.connection.sendRequest(request, new ClientCallback<>() {
            @Override
            public void completed(ClientExchange exchange) {
                exchange.setResponseListener(new ClientCallback<>() {
                    @Override
                    public void completed(ClientExchange answered) {
                        call.finish(Outcome.ANSWERED, answered);
                    }

                    @Override
                    public void failed(IOException e) {
                        call.finish(Outcome.BROKEN, null);
                    }
                });
            }

            @Override
            public void failed(IOException e) {
                call.finish(Outcome.BROKEN, null);
            }
        });
    }

    /** Reads the rest of a small answer and keeps its connection for the next call. */
    public void recycle(String base, ClientExchange exchange) {
        read(exchange, new Stream() {
            @Override
            public void bytes(ByteBuffer data) {
                // Bodies of these answers say nothing that their heads do not.
            }

            @Override
            public void closed() {
                ClientConnection connection = exchange.getConnection();
                ArrayDeque<ClientConnection> kept = idle.computeIfAbsent(base, b -> new ArrayDeque<>());
                if (!closed && connection.isOpen() && kept.size() < mostIdle) {
                    kept.push(connection);
                } else {
                    IoUtils.safeClose(connection);
                }
            }
        });
    }

    /** Reads an answer's body as it comes; its end and its break are told alike. */
    public void read(ClientExchange exchange, Stream stream) {
        StreamSourceChannel channel = exchange.getResponseChannel();
        ByteBuffer buffer = ByteBuffer.allocate(4096);
        ChannelListener<StreamSourceChannel> listener = new ChannelListener<>() {
            private boolean over;

            @Override
            public void handleEvent(StreamSourceChannel in) {
                while (!over) {
                    buffer.clear();
                    int n;
                    try {
                        n = in.read(buffer);
                    } catch (IOException e) {
                        n = -1;
                        IoUtils.safeClose(exchange.getConnection());
                    }
                    if (n == 0) {
                        in.resumeReads();
                        return;
                    }
                    if (n < 0) {
                        over = true;
                        in.suspendReads();
                        stream.closed();
                    } else {
                        buffer.flip();
                        stream.bytes(buffer);
                    }
                }
            }
        };
        channel.getReadSetter().set(listener);
        channel.getCloseSetter().set((Channel c) -> listener.handleEvent(channel));
        listener.handleEvent(channel);
    }

    /** Closes the idle connections to an address. */
    public void free(String base) {
        ArrayDeque<ClientConnection> kept = idle.remove(base);
        if (kept != null) {
            kept.forEach(IoUtils::safeClose);
        }
    }

    /** Closes all that is idle; calls from now on are never sent, and no result is told any more. */
    public void close() {
        closed = true;
        idle.values().forEach(kept -> kept.forEach(IoUtils::safeClose));
        idle.clear();
    }
}
