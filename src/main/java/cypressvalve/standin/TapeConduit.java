package cypressvalve.standin;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.util.function.LongConsumer;
import org.xnio.channels.StreamSourceChannel;
import org.xnio.conduits.AbstractStreamSinkConduit;
import org.xnio.conduits.StreamSinkConduit;

/** Counts what passes to the socket and tells the tape once, whether the answer ended or was cut off. */
final class TapeConduit extends AbstractStreamSinkConduit<StreamSinkConduit> {
    /** Takes the count: whole if the answer was ended, not cut off. */
    interface Teller {
        void passed(long bytes, boolean whole);
    }

    private final Teller teller;
    private final LongConsumer each;
    private long bytes;
    private boolean told;

    /** @param each told of each write that passed, for those who must know that a viewer still takes bytes */
    TapeConduit(StreamSinkConduit next, LongConsumer each, Teller teller) {
        super(next);
        this.each = each;
        this.teller = teller;
    }

    private long count(long n) {
        bytes += n;
        if (n > 0) {
            each.accept(n);
        }
        return n;
    }

    private void tell(boolean whole) {
        if (!told) {
            told = true;
            teller.passed(bytes, whole);
        }
    }

    @Override
    public int write(ByteBuffer src) throws IOException {
        return (int) count(next.write(src));
    }

    @Override
    public long write(ByteBuffer[] srcs, int offset, int length) throws IOException {
        return count(next.write(srcs, offset, length));
    }

    @Override
    public int writeFinal(ByteBuffer src) throws IOException {
        int n = (int) count(next.writeFinal(src));
        if (!src.hasRemaining()) {
            tell(true);
        }
        return n;
    }

    @Override
    public long writeFinal(ByteBuffer[] srcs, int offset, int length) throws IOException {
        long n = count(next.writeFinal(srcs, offset, length));
        for (int i = offset; i < offset + length; i++) {
            if (srcs[i].hasRemaining()) {
                return n;
            }
        }
        tell(true);
        return n;
    }

    @Override
    public long transferFrom(FileChannel src, long position, long count) throws IOException {
        return count(next.transferFrom(src, position, count));
    }

    @Override
    public long transferFrom(StreamSourceChannel source, long count, ByteBuffer through) throws IOException {
        return count(next.transferFrom(source, count, through));
    }

    @Override
    public void terminateWrites() throws IOException {
        tell(true);
        next.terminateWrites();
    }

    @Override
    public void truncateWrites() throws IOException {
        tell(false);
        next.truncateWrites();
    }
}
