package cypressvalve.soak;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.TimeUnit;

/**
 * How late emulated media hosts note what comes: messages of the trial's own say when they were sent, each on a connection of its own,
 * and go the way that set-ups go. A record whose arrivals were noted later than the protocol's slack proves nothing against a gateway.
 */
final class ArrivalLateness {
    /** The field that says when such a message was sent, in microseconds of the record. */
    static final String SENT_FIELD = "x-sent-micros";
    /** The protocol's slack of every time limit. */
    private static final long MAX_MICROS = 50_000;
    private static final int MICROS_PER_MILLI = 1_000;
    private static final long PERIOD_MILLIS = 20;
    private static final int CONNECT_MILLIS = 500;
    private static final double MOST = 0.99;

    /** A machine is calm once so many in a row were noted in time. */
    private static final int CALM_BY = 20;
    private static final long CALM_MICROS = 10_000;

    private long[] micros = new long[1024];
    private int count;
    private int inTime;
    private long worstAtMicros;

    /** Notes such a message as it has come. */
    synchronized void noted(long sentMicros, long notedMicros) {
        if (count == micros.length) {
            micros = Arrays.copyOf(micros, 2 * count);
        }
        long late = notedMicros - sentMicros;
        worstAtMicros = late >= Arrays.stream(micros, 0, count).max().orElse(0) ? notedMicros : worstAtMicros;
        micros[count++] = late;
        inTime = late <= CALM_MICROS ? inTime + 1 : 0;
        notifyAll();
    }

    /** Waits until the machine has done what a start of many processes leaves it to do, at most so long; forgets what was noted. */
    synchronized void awaitCalm(long mostMillis) throws InterruptedException {
        long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(mostMillis);
        while (inTime < CALM_BY && System.nanoTime() < until) {
            wait(PERIOD_MILLIS);
        }
        count = 0;
        worstAtMicros = 0;
    }

    /** Sends such messages to the hosts in turn, until it is interrupted; on a thread of its own. */
    void measure(List<MediaHostEmulator> hosts, EventRecord record) throws InterruptedException {
        for (int i = 0; true; i++) {
            TimeUnit.MILLISECONDS.sleep(PERIOD_MILLIS);
            InetSocketAddress address = hosts.get(i % hosts.size()).address();
            try (Socket socket = new Socket()) {
                long sent = record.now();
                socket.connect(address, CONNECT_MILLIS);
                OutputStream out = socket.getOutputStream();
                out.write(("OPTIONS rtsp://media/arrival RTSP/1.0\r\nCSeq: 3\r\nSession: 0\r\n" + SENT_FIELD + ": " + sent
                    + "\r\nContent-Length: 0\r\n\r\n").getBytes(StandardCharsets.US_ASCII));
            } catch (IOException e) {
                continue; // The host is out of reach, or has gone.
            }
        }
    }

    /** Whether what the record says of times can be held against a gateway. */
    synchronized boolean withinSlack() {
        return Arrays.stream(micros, 0, count).max().orElse(0) <= MAX_MICROS;
    }

    @Override
    public synchronized String toString() {
        long[] sorted = Arrays.copyOf(micros, count);
        Arrays.sort(sorted);
        return count == 0 ? "no arrival was measured" : String.format(Locale.ROOT, "%d arrivals noted %.1f ms late at most (at %d), 99%% of them %.1f",
            count, (double) sorted[count - 1] / MICROS_PER_MILLI, worstAtMicros / MICROS_PER_MILLI, (double) sorted[(int) (MOST * (count - 1))] / MICROS_PER_MILLI);
    }
}
