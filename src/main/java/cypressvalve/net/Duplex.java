package cypressvalve.net;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.StreamConnection;
import org.xnio.channels.StreamSourceChannel;
import org.xnio.conduits.ConduitStreamSinkChannel;

/**
 * One connection as bytes both ways on its I/O thread, for protocols that need no more. What can't be written at once
 * waits in order, up to a bound; a peer that reads too little is closed. Nothing thrown by its taker leaves it: one
 * connection's fault ends that connection.
 */
public final class Duplex {
    /** What the connection brings. */
    public interface Taker {
        /** Takes all bytes of the buffer; it is used again afterwards. */
        void bytes(ByteBuffer data);

        /** It is closed, from whichever side; told once, and not by {@link Duplex#close}. */
        void closed();
    }

    /** For connections that we open: a message leaves at once, not behind the acknowledgement of the one before. */
    public static final OptionMap CONNECT_OPTIONS = OptionMap.create(Options.TCP_NODELAY, true);
    /** Reads in one turn: a peer that sends at full speed lets the others have their turn. */
    private static final int READS = 4;

    private final StreamConnection connection;
    private final ConduitStreamSinkChannel sink;
    private final ByteBuffer buffer;
    private final int mostQueued;
    private final Taker taker;
    private final ArrayDeque<ByteBuffer> queue = new ArrayDeque<>();
    private int queued;
    private boolean closing;
    private boolean closed;

    /**
     * @param buffer what is read into, shared by all connections of the thread
     * @param mostQueued bytes that may wait to be written
     */
    public Duplex(StreamConnection connection, ByteBuffer buffer, int mostQueued, Taker taker) {
        this.connection = connection;
        this.buffer = buffer;
        this.mostQueued = mostQueued;
        this.taker = taker;
        sink = connection.getSinkChannel();
        sink.setWriteListener(s -> flush());
        connection.getSourceChannel().setReadListener(this::read);
    }

    /** Begins to read. */
    public void start() {
        connection.getSourceChannel().resumeReads();
    }

    public boolean isOpen() {
        return !closed && !closing;
    }

    /** Reads what has come by now, as on a late loop it may have come long ago; not from within a taker. */
    public void readNow() {
        if (!closed) {
            read(connection.getSourceChannel());
        }
    }

    private void read(StreamSourceChannel source) {
        try {
            for (int i = 0; i < READS && !closed; i++) {
                buffer.clear();
                int n = source.read(buffer);
                if (n < 0) {
                    over();
                    return;
                }
                if (n == 0) {
                    return;
                }
                buffer.flip();
                if (!closing) {
                    taker.bytes(buffer);
                }
            }
        } catch (IOException | RuntimeException e) {
            over();
        }
    }

    /** Writes the bytes after all that wait; they are not changed afterwards. */
    public void write(byte[] bytes) {
        if (!isOpen()) {
            return;
        }
        queue.add(ByteBuffer.wrap(bytes));
        queued += bytes.length;
        if (queued > mostQueued) {
            over();
        } else if (queue.size() == 1) {
            flush();
        }
    }

    /** Whether everything written has left for the socket. */
    public boolean flushed() {
        return queue.isEmpty();
    }

    /** Whether some of these bytes, as given to {@link #write}, have not left for the socket, or had not when it closed. */
    public boolean waits(byte[] bytes) {
        return queue.stream().anyMatch(b -> b.array() == bytes);
    }

    /** Takes back bytes given to {@link #write}; false if any of them have left. */
    public boolean takeBack(byte[] bytes) {
        boolean back = queue.removeIf(b -> b.array() == bytes && b.position() == 0);
        queued -= back ? bytes.length : 0;
        return back;
    }

    private void flush() {
        try {
            while (!queue.isEmpty()) {
                int n = sink.write(queue.peek());
                queued -= n;
                if (queue.peek().hasRemaining()) {
                    sink.resumeWrites();
                    return;
                }
                queue.poll();
            }
            sink.suspendWrites();
            if (closing && !closed) {
                close();
            }
        } catch (IOException | RuntimeException e) {
            over();
        }
    }

    /** Writes what waits, takes nothing more, and closes. */
    public void finish() {
        closing = true;
        if (queue.isEmpty()) {
            close();
        }
    }

    private void over() {
        if (!closed) {
            boolean told = closing;
            shut();
            if (!told) {
                taker.closed(); // What had not left can still be looked at.
            }
            queue.clear();
        }
    }

    private void shut() {
        closed = true;
        IoUtils.safeClose(connection);
    }

    /** Closes at once, without a word to the taker. */
    public void close() {
        shut();
        queue.clear();
    }
}
