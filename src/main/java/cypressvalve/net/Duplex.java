package cypressvalve.net;

import cypressvalve.admission.SharedLimit;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
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
        /** Takes all bytes of the buffer, which is its own: other connections may be read meanwhile. */
        void bytes(ByteBuffer data);

        /** It is closed, from whichever side; told once, and not by {@link Duplex#close}. */
        void closed();
    }

    /** For connections that we open: a message leaves at once, not behind the acknowledgement of the one before. */
    public static final OptionMap CONNECT_OPTIONS = OptionMap.create(Options.TCP_NODELAY, true);
    /** A peer that sends at full speed lets the others, and what is due, have their turn after this, in nanoseconds. */
    private static final long READ_BUDGET = 1_000_000L;
    /** Read at a time: what is taken of it may cost more than the reading. */
    private static final int READ_BYTES = 4 * 1024;
    /** Messages that leave with one call. */
    private static final int WRITTEN_TOGETHER = 64;
    /** Bytes read at once where all that has come is wanted: more than a socket holds of any well-behaved peer. */
    private static final long ALL_BYTES = 1024 * 1024;

    private final StreamConnection connection;
    private final ConduitStreamSinkChannel sink;
    private final ByteBuffer buffer;
    private final int mostQueued;
    private final SharedLimit<Duplex> queuedTogether;
    private final Taker taker;
    private final ArrayDeque<ByteBuffer> queue = new ArrayDeque<>();
    private int queued;
    private boolean closing;
    private boolean lingering;
    private boolean closed;
    private boolean endingWrites;
    private boolean taking;
    private boolean endedByPeer;
    private boolean resetByPeer;
    /** A write has found that the peer holds the connection no longer. */
    private boolean broken;

    /**
     * @param buffer what is read into, shared by all connections of the thread
     * @param mostQueued bytes that may wait to be written
     */
    public Duplex(StreamConnection connection, ByteBuffer buffer, int mostQueued, Taker taker) {
        this(connection, buffer, mostQueued, new SharedLimit<>(Long.MAX_VALUE / 2), taker);
    }

    /**
     * The same, of several that share the memory for what waits to be written.
     *
     * @param queuedTogether bytes that may wait on all of them; where they are too many, the one on which the most wait is closed
     */
    public Duplex(StreamConnection connection, ByteBuffer buffer, int mostQueued, SharedLimit<Duplex> queuedTogether,
        Taker taker) {
        this.connection = connection;
        this.buffer = buffer;
        this.mostQueued = mostQueued;
        this.queuedTogether = queuedTogether;
        this.taker = taker;
        sink = connection.getSinkChannel();
        sink.setWriteListener(s -> flush());
        connection.getSourceChannel().setReadListener(source -> read(source, System.nanoTime() + READ_BUDGET, ALL_BYTES));
    }

    /** Begins to read. */
    public void start() {
        connection.getSourceChannel().resumeReads();
    }

    /** Whether something can still be written. */
    public boolean isOpen() {
        return !closed && !closing && !endingWrites && !broken;
    }

    /** Whether it closed as the peer ended or reset it, which shows that the peer holds nothing of it any more. */
    public boolean endedByPeer() {
        return endedByPeer;
    }

    /** Whether the peer reset it: what it had not read, and what of its own had not left, is lost. */
    public boolean resetByPeer() {
        return resetByPeer;
    }

    private void reset() {
        endedByPeer = true;
        resetByPeer = true;
    }

    /**
     * Reads what has come by now, as on a late loop it may have come long ago. From within its own taker nothing is read: what comes next
     * would be taken before the rest of what is being taken.
     *
     * @return whether anything had come
     */
    public boolean readNow() {
        return readNow(ALL_BYTES) > 0;
    }

    /**
     * The same, of a peer that may send without end: as much as it sends would keep the loop from everything else.
     *
     * @param most bytes after which the rest is left
     * @return how many bytes were read; fewer than that where nothing more had come, or it has closed
     */
    public long readNow(long most) {
        return closed || taking ? 0 : read(connection.getSourceChannel(), Long.MAX_VALUE, most);
    }

    /**
     * @param until System.nanoTime() after which nothing more is read in this turn
     * @param most bytes after which it is not, either
     * @return how many bytes were read
     */
    private long read(StreamSourceChannel source, long until, long most) {
        long bytes = 0;
        try {
            while (bytes < most && !closed && System.nanoTime() < until) {
                int n = readBytes(source);
                if (n < 0) {
                    endedByPeer = true;
                    over();
                }
                if (n <= 0) {
                    return bytes;
                }
                bytes += n;
                if (!closing || lingering) {
                    handOver(copyOfRead());
                }
            }
        } catch (IOException | RuntimeException e) {
            over();
        }
        return bytes;
    }

    /** What is written meanwhile leaves together. */
    private void handOver(ByteBuffer data) {
        taking = true;
        try {
            taker.bytes(data);
        } finally {
            taking = false;
        }
        if (!closed && !queue.isEmpty()) {
            flush();
        }
    }

    /** What was read last, apart from the shared buffer: its taker may lead to other connections being read. */
    private ByteBuffer copyOfRead() {
        buffer.flip();
        return ByteBuffer.allocate(buffer.remaining()).put(buffer).flip();
    }

    private int readBytes(StreamSourceChannel source) throws IOException {
        buffer.clear();
        buffer.limit(Math.min(buffer.capacity(), READ_BYTES));
        try {
            return source.read(buffer);
        } catch (IOException e) {
            reset();
            throw e;
        }
    }

    /** Writes the bytes after all that wait; they are not changed afterwards. */
    public void write(byte[] bytes) {
        if (!isOpen()) {
            return;
        }
        queue.add(ByteBuffer.wrap(bytes));
        countQueued(bytes.length);
        if (queued > mostQueued) {
            over();
        } else if (queue.size() == 1 && !taking) {
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
        countQueued(back ? -bytes.length : 0);
        return back;
    }

    /** What waits in a connection that has closed is counted no more. */
    private void countQueued(int more) {
        if (!closed && more != 0) {
            queued += more;
            queuedTogether.add(this, more);
        }
    }

    private void flush() {
        try {
            while (!queue.isEmpty()) {
                ByteBuffer[] next = queue.stream().limit(WRITTEN_TOGETHER).toArray(ByteBuffer[]::new);
                countQueued((int) -sink.write(next, 0, next.length));
                while (!queue.isEmpty() && !queue.peek().hasRemaining()) {
                    queue.poll();
                }
                if (next[next.length - 1].hasRemaining()) {
                    awaitWritable();
                    return;
                }
            }
            sink.suspendWrites();
            if (closing && !closed && !lingering) {
                close();
            } else if (lingering && !closed) {
                sink.shutdownWrites();
                sink.flush();
            } else if (endingWrites && !closed) {
                sink.shutdownWrites();
                sink.flush();
            }
        } catch (IOException e) {
            reset();
            overAfterReading();
        } catch (RuntimeException e) {
            over();
        }
    }

    /** The peer takes no more for now. Whoever leaves the most unread is closed, in a task of its own: it may be within its taker now. */
    private void awaitWritable() {
        sink.resumeWrites();
        if (queuedTogether.payer().isPresent()) {
            connection.getIoThread().execute(() -> queuedTogether.payer().ifPresent(Duplex::over));
        }
    }

    /** What the peer said before it broke the connection is taken first, in a task of its own: a taker may have led to the write. */
    private void overAfterReading() {
        if (closing) {
            over(); // Nothing is taken any more.
            return;
        }
        broken = true;
        sink.suspendWrites();
        connection.getIoThread().execute(() -> {
            readNow();
            over();
        });
    }

    /**
     * Writes what waits, then ends this side's stream alone: what the peer says is taken until it ends its own, which shows
     * that it has read all that was written.
     */
    public void endWrites() {
        if (isOpen()) {
            endingWrites = true;
            if (queue.isEmpty() || taking) {
                flush();
            }
        }
    }

    /**
     * Writes what waits and ends this side's stream; what still comes is taken until the peer ends its own, or {@link #close} is
     * called, and its taker is not told of the end. A close with bytes unread resets the connection, by which the peer may lose what was
     * written last.
     */
    public void linger() {
        closing = true;
        lingering = true;
        if (queue.isEmpty()) {
            flush();
        }
    }

    /** Whether what comes is still taken and can be answered. */
    public boolean takes() {
        return !closed && !closing;
    }

    /** Whether this side has ended its stream by {@link #linger}, and what comes is still taken. */
    public boolean lingers() {
        return !closed && lingering;
    }

    /** Whether it is closed on both sides. */
    public boolean isClosed() {
        return closed;
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
        countQueued(-queued);
        closed = true;
        IoUtils.safeClose(connection);
    }

    /** Resets the connection, without a word to the taker: what has not reached the peer never will. */
    public void abort() {
        try {
            connection.setOption(Options.CLOSE_ABORT, true);
        } catch (IOException | RuntimeException e) {
            close(); // It has ended already, or can't be reset: then it is closed.
            return;
        }
        close();
    }

    /**
     * Closes at once. What has come by now is taken in a task of its own, and then the other task is run: who closes may be within the
     * handling of other bytes, which what is taken must not change under it.
     */
    public void closeAndTakeRest(Runnable afterwards) {
        List<ByteBuffer> rest = rest();
        close();
        connection.getIoThread().execute(() -> {
            try {
                rest.forEach(taker::bytes);
            } finally {
                afterwards.run();
            }
        });
    }

    private List<ByteBuffer> rest() {
        List<ByteBuffer> rest = new ArrayList<>();
        try {
            int n = closed ? 0 : readBytes(connection.getSourceChannel());
            for (long bytes = n; n > 0 && bytes < ALL_BYTES; bytes += n) {
                rest.add(copyOfRead());
                n = readBytes(connection.getSourceChannel());
            }
            endedByPeer |= n < 0;
        } catch (IOException e) {
            // It was reset: what had come before that is all that can be read.
        }
        return rest;
    }

    /** Closes at once, without a word to the taker. */
    public void close() {
        shut();
        queue.clear();
    }
}
