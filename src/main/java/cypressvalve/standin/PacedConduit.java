package cypressvalve.standin;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.util.concurrent.TimeUnit;
import java.util.function.DoubleSupplier;
import org.xnio.XnioExecutor;
import org.xnio.channels.StreamSourceChannel;
import org.xnio.conduits.AbstractStreamSinkConduit;
import org.xnio.conduits.StreamSinkConduit;

/**
 * Lets bytes through at the rate that the shared link gives this stream now. The rate is asked for at each write, so
 * a stream that is under way feels every other one that begins or ends, and every fault of the link.
 */
final class PacedConduit extends AbstractStreamSinkConduit<StreamSinkConduit> {
    /** Credit that a stream may save up: small against a segment, so that a change of rate is felt at once. */
    private static final double MOST_CREDIT_NS = 50e6;
    private static final long LOOK_AGAIN_MS = 10;

    private final DoubleSupplier bytesPerNano;
    private long last = System.nanoTime();
    private double credit = 1024;
    private boolean resumed;
    private XnioExecutor.Key timer;

    PacedConduit(StreamSinkConduit next, DoubleSupplier bytesPerNano) {
        super(next);
        this.bytesPerNano = bytesPerNano;
    }

    private int allowed() {
        long now = System.nanoTime();
        double rate = bytesPerNano.getAsDouble();
        credit = Math.min(credit + rate * (now - last), Math.max(1024, rate * MOST_CREDIT_NS));
        last = now;
        return (int) credit;
    }

    @Override
    public int write(ByteBuffer src) throws IOException {
        if (!src.hasRemaining()) {
            return next.write(src);
        }
        int allowed = allowed();
        if (allowed <= 0) {
            hold();
            return 0;
        }
        int limit = src.limit();
        src.limit(Math.min(limit, src.position() + allowed));
        try {
            int n = next.write(src);
            credit -= n;
            return n;
        } finally {
            src.limit(limit);
        }
    }

    @Override
    public long write(ByteBuffer[] srcs, int offset, int length) throws IOException {
        for (int i = offset; i < offset + length; i++) {
            if (srcs[i].hasRemaining()) {
                return write(srcs[i]);
            }
        }
        return 0;
    }

    @Override
    public int writeFinal(ByteBuffer src) throws IOException {
        int n = write(src);
        if (!src.hasRemaining()) {
            terminateWrites();
        }
        return n;
    }

    @Override
    public long writeFinal(ByteBuffer[] srcs, int offset, int length) throws IOException {
        long n = write(srcs, offset, length);
        for (int i = offset; i < offset + length; i++) {
            if (srcs[i].hasRemaining()) {
                return n;
            }
        }
        terminateWrites();
        return n;
    }

    @Override
    public long transferFrom(FileChannel src, long position, long count) {
        throw new UnsupportedOperationException("segments are made in memory");
    }

    @Override
    public long transferFrom(StreamSourceChannel source, long count, ByteBuffer through) {
        throw new UnsupportedOperationException("segments are made in memory");
    }

    private void hold() {
        next.suspendWrites();
        if (timer == null) {
            timer = getWriteThread().executeAfter(() -> {
                timer = null;
                if (resumed) {
                    next.wakeupWrites();
                }
            }, LOOK_AGAIN_MS, TimeUnit.MILLISECONDS);
        }
    }

    @Override
    public void resumeWrites() {
        resumed = true;
        if (timer == null) {
            next.resumeWrites();
        }
    }

    @Override
    public void wakeupWrites() {
        resumed = true;
        next.wakeupWrites();
    }

    @Override
    public void suspendWrites() {
        resumed = false;
        next.suspendWrites();
    }

    @Override
    public boolean isWriteResumed() {
        return resumed;
    }
}
