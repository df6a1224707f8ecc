package cypressvalve.soak;

import java.io.IOException;
import java.io.InputStream;
import java.util.Arrays;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/** What comes on a connection, handed over only after the reader's delay; it tells when it had come. */
final class LateInput extends InputStream implements Runnable {
    private static final int CHUNK_BYTES = 4096;
    private static final long MICROS_PER_MILLI = 1_000;

    private record Chunk(byte[] bytes, long arrivedAt) { }

    private final InputStream in;
    private final LongSupplier clock;
    private final LongSupplier delayMillis;
    private final BlockingQueue<Chunk> chunks = new LinkedBlockingQueue<>();
    private Chunk current = new Chunk(new byte[0], 0);
    private int taken;

    /**
     * @param clock the time now, in microseconds
     * @param delayMillis how long what comes is held back, in milliseconds
     */
    LateInput(InputStream in, LongSupplier clock, LongSupplier delayMillis) {
        this.in = in;
        this.clock = clock;
        this.delayMillis = delayMillis;
    }

    /** Takes what comes as it comes, until the connection ends; on a thread of its own. */
    @Override
    public void run() {
        byte[] bytes = new byte[CHUNK_BYTES];
        int n = 0;
        while (n >= 0) {
            try {
                n = in.read(bytes);
            } catch (IOException e) {
                n = -1;
            }
            chunks.add(new Chunk(Arrays.copyOf(bytes, Math.max(0, n)), clock.getAsLong()));
        }
    }

    /** When the last of what was read had come, in microseconds. */
    long arrivedAt() {
        return current.arrivedAt();
    }

    @Override
    public int read() throws IOException {
        byte[] one = new byte[1];
        return read(one, 0, 1) < 0 ? -1 : one[0] & 0xff;
    }

    @Override
    public int read(byte[] to, int from, int length) throws IOException {
        try {
            if (taken == current.bytes().length) {
                current = chunks.take();
                taken = 0;
                long early = current.arrivedAt() + delayMillis.getAsLong() * MICROS_PER_MILLI - clock.getAsLong();
                TimeUnit.MICROSECONDS.sleep(early);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException(e);
        }
        if (current.bytes().length == 0) {
            chunks.add(current);
            return -1;
        }
        int n = Math.min(length, current.bytes().length - taken);
        System.arraycopy(current.bytes(), taken, to, from, n);
        taken += n;
        return n;
    }
}
