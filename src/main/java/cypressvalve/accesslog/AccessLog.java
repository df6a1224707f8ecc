package cypressvalve.accesslog;

import java.io.BufferedWriter;
import java.io.Closeable;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * An access log in a file, written by a thread of its own so that no request waits for a disk. When the disk falls
 * behind, lines are dropped and counted. A file that was renamed away is begun anew within a second.
 */
public final class AccessLog implements Closeable {
    private static final Logger LOG = LoggerFactory.getLogger(AccessLog.class);
    /** Lines that wait for the disk: half a second of what one gateway serves at most. */
    private static final int WAITING = 8192;
    private static final String END = new String("end");

    private final Path file;
    private final BlockingQueue<String> queue = new ArrayBlockingQueue<>(WAITING);
    private final AtomicLong dropped = new AtomicLong();
    private final Thread thread;
    private BufferedWriter out;

    /** @throws IOException if the file can't be opened */
    public AccessLog(Path file) throws IOException {
        this.file = file;
        open();
        thread = new Thread(this::write, "access-log");
        thread.setDaemon(true);
        thread.start();
    }

    private void open() throws IOException {
        out = Files.newBufferedWriter(file, StandardCharsets.UTF_8, StandardOpenOption.CREATE, StandardOpenOption.APPEND);
    }

    /** Takes a line; never waits. */
    public void put(AccessLine line) {
        if (!queue.offer(line.text())) {
            dropped.incrementAndGet();
        }
    }

    /** Lines dropped so far. */
    public long dropped() {
        return dropped.get();
    }

    private void write() {
        long told = 0;
        try {
            while (true) {
                String line = queue.poll(1, TimeUnit.SECONDS);
                if (line == END) {
                    break;
                }
                if (line != null) {
                    out.write(line);
                    out.write('\n');
                }
                if (queue.isEmpty()) {
                    out.flush();
                    if (!Files.exists(file)) {
                        out.close();
                        open();
                    }
                }
                if (dropped.get() > told) {
                    LOG.warn("access log {} dropped {} lines: the disk is slower than the requests", file,
                        dropped.get() - told);
                    told = dropped.get();
                }
            }
            out.close();
        } catch (IOException e) {
            LOG.error("access log {} ends: {}", file, e.toString());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Writes what waits, then closes the file. */
    @Override
    public void close() {
        try {
            // A writer that has failed takes nothing any more.
            while (thread.isAlive() && !queue.offer(END, 100, TimeUnit.MILLISECONDS)) { }
            thread.join(5000);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
