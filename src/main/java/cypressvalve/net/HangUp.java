package cypressvalve.net;

import io.undertow.connector.PooledByteBuffer;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.protocol.http.HttpServerConnection;
import java.io.IOException;
import org.xnio.IoUtils;
import org.xnio.conduits.ConduitStreamSourceChannel;

/**
 * Notices that a client closes its connection while its request waits for an answer. What a client sends ahead
 * (pipelining) is kept for the next request, and the watch ends with it, so that nothing piles up.
 */
public final class HangUp {
    private final ConduitStreamSourceChannel source;
    private boolean stopped;

    private HangUp(ConduitStreamSourceChannel source) {
        this.source = source;
    }

    /**
     * Watches until the client hangs up, sends more or {@link #stop()} is called. On the exchange's I/O thread only.
     *
     * @return null if the connection is of a kind that can't be watched
     */
    public static HangUp watch(HttpServerExchange exchange, Runnable gone) {
        if (!(exchange.getConnection() instanceof HttpServerConnection connection)
            || connection.getExtraBytes() != null) {
            return null;
        }
        HangUp watch = new HangUp(connection.getChannel().getSourceChannel());
        watch.source.setReadListener(channel -> watch.readable(connection, gone));
        watch.source.resumeReads();
        return watch;
    }

    private void readable(HttpServerConnection connection, Runnable gone) {
        if (stopped) {
            return;
        }
        PooledByteBuffer buffer = connection.getByteBufferPool().allocate();
        boolean keep = false;
        try {
            int n = source.read(buffer.getBuffer());
            if (n > 0) {
                stop();
                buffer.getBuffer().flip();
                connection.ungetRequestBytes(buffer);
                keep = true;
            } else if (n < 0) {
                stop();
                IoUtils.safeClose(connection);
                gone.run();
            }
        } catch (IOException e) {
            stop();
            IoUtils.safeClose(connection);
            gone.run();
        } finally {
            if (!keep) {
                buffer.close();
            }
        }
    }

    /** Looks no longer; the connection goes on as it was. */
    public void stop() {
        if (!stopped) {
            stopped = true;
            source.suspendReads();
            source.setReadListener(null);
        }
    }
}
