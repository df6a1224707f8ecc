package cypressvalve.soak;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.util.ArrayDeque;
import java.util.Queue;
import java.util.function.BiConsumer;
import java.util.function.LongSupplier;

/**
 * The messages of one connection to an emulated media host: noted as they come whole to its machine, taken by its process
 * only after its delay, in order. A process that hangs takes none.
 */
final class ArrivedMessages implements Runnable {
    /** A delay that never passes: the process hangs. */
    static final long HANGS = Long.MAX_VALUE;
    private static final long MICROS_PER_MILLI = 1_000;

    private record Arrived(RtspMessage message, long atMicros) { }

    private final InputStream in;
    private final LongSupplier clock;
    private final LongSupplier delayMillis;
    private final BiConsumer<RtspMessage, Long> onArrival;
    private final Queue<Arrived> arrived = new ArrayDeque<>();

    /**
     * @param clock the time now, in microseconds
     * @param delayMillis how long what comes is held back, in milliseconds, or {@link #HANGS}
     * @param onArrival told of each message as it has come whole, with the time
     */
    ArrivedMessages(InputStream in, LongSupplier clock, LongSupplier delayMillis, BiConsumer<RtspMessage, Long> onArrival) {
        this.in = new BufferedInputStream(in);
        this.clock = clock;
        this.delayMillis = delayMillis;
        this.onArrival = onArrival;
    }

    /** Reads what comes as it comes, until the connection ends or can't be read; on a thread of its own. */
    @Override
    public void run() {
        boolean ended = false;
        while (!ended) {
            RtspMessage message;
            try {
                message = RtspMessage.read(in);
                onArrival.accept(message, clock.getAsLong());
            } catch (IOException | NumberFormatException e) {
                message = null;
                ended = true;
            }
            add(new Arrived(message, clock.getAsLong()));
        }
    }

    private synchronized void add(Arrived message) {
        arrived.add(message);
        notifyAll();
    }

    /** Wakes whoever waits for a delay that was changed. */
    synchronized void delayChanged() {
        notifyAll();
    }

    /** Waits until the process takes the next message; null at the connection's end. */
    synchronized RtspMessage take() throws InterruptedException {
        while (true) {
            long left = untilDue();
            if (left <= 0) {
                return arrived.poll().message();
            }
            if (left == Long.MAX_VALUE) {
                wait();
            } else {
                wait(left / MICROS_PER_MILLI + 1);
            }
        }
    }

    private long untilDue() {
        long delay = delayMillis.getAsLong();
        if (arrived.isEmpty() || delay == HANGS) {
            return Long.MAX_VALUE;
        }
        return arrived.peek().atMicros() + delay * MICROS_PER_MILLI - clock.getAsLong();
    }
}
