package cypressvalve.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.StreamConnection;
import org.xnio.Xnio;
import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;

/** What runs after a poll of an I/O thread, beside what keeps that thread busy. */
@Timeout(30)
class PollCyclesTest {
    private static final long BUSY_NANOS = 2_000_000L;
    private static final long CHAIN_NANOS = 3_000_000_000L;
    /** While one is busy the others' timers come due. */
    private static final int CHAINS = 4;
    private static final long SHORTEST_DELAY = 1_000_000L;

    private final ServerSocket server = Loopback.server();
    private final XnioWorker worker = Xnio.getInstance().createWorker(OptionMap.create(Options.WORKER_IO_THREADS, 1));
    private final XnioIoThread thread = worker.getIoThread();
    private final PollCycles polls = new PollCycles(thread);
    private final LinkedBlockingQueue<String> seen = new LinkedBlockingQueue<>();
    private StreamConnection connection;
    private Socket peer;

    PollCyclesTest() throws IOException { }

    @BeforeEach
    void connect() throws Exception {
        InetSocketAddress address = new InetSocketAddress(InetAddress.getLoopbackAddress(), server.getLocalPort());
        connection = thread.openStreamConnection(address, this::readOn, OptionMap.EMPTY).get();
        peer = server.accept();
        onLoop(() -> polls.afterNext(() -> seen.add("polled")));
        assertEquals("polled", seen.take());
    }

    @AfterEach
    void stop() throws Exception {
        polls.close();
        IoUtils.safeClose(connection);
        peer.close();
        server.close();
        worker.shutdownNow();
    }

    private void readOn(StreamConnection opened) {
        ByteBuffer buffer = ByteBuffer.allocate(16);
        opened.getSourceChannel().setReadListener(source -> {
            try {
                for (buffer.clear(); source.read(buffer) > 0; buffer.clear()) {
                    seen.add("read");
                }
            } catch (IOException e) {
                seen.add(e.toString());
            }
        });
        opened.getSourceChannel().resumeReads();
    }

    private void onLoop(Runnable task) throws InterruptedException {
        LinkedBlockingQueue<String> done = new LinkedBlockingQueue<>();
        thread.execute(() -> {
            task.run();
            done.add("");
        });
        done.take();
    }

    private static void keepBusy() {
        long until = System.nanoTime() + BUSY_NANOS;
        while (System.nanoTime() < until) {
            Thread.onSpinWait();
        }
    }

    private void chainOfTimers(long until) {
        Timer.after(polls, () -> {
            keepBusy();
            if (System.nanoTime() < until) {
                chainOfTimers(until);
            } else {
                seen.add("the chain has ended");
            }
        }, SHORTEST_DELAY);
    }

    /** Guards against sockets that are not looked at as long as timers set further ones. */
    @Test
    void timersThatAreDueAgainAndAgainDoNotKeepTheLoopFromItsSockets() throws Exception {
        onLoop(() -> {
            for (int i = 0; i < CHAINS; i++) {
                chainOfTimers(System.nanoTime() + CHAIN_NANOS);
            }
            Timer.after(polls, () -> seen.add("the chains have begun"), 4 * BUSY_NANOS);
        });
        assertEquals("the chains have begun", seen.take());
        peer.getOutputStream().write(1);
        assertEquals("read", seen.take());
    }

    @Test
    void whatWaitsForAPollRunsOnceAllThatHadComeBeforeWasSeenTo() throws Exception {
        peer.getOutputStream().write(1);
        onLoop(() -> polls.afterNext(() -> seen.add("after the poll")));
        assertEquals("read", seen.take());
        assertEquals("after the poll", seen.take());
    }

    @Test
    void aPollThatHasBegunIsNotTheNextOne() throws Exception {
        onLoop(() -> polls.afterNext(() -> {
            try {
                peer.getOutputStream().write(1);
            } catch (IOException e) {
                seen.add(e.toString());
            }
            polls.afterNext(() -> seen.add("after the poll"));
        }));
        assertEquals("read", seen.take());
        assertEquals("after the poll", seen.take());
    }

    @Test
    void theLongestPollTellsHowLongTasksKeptTheLoopFromItsSockets() throws Exception {
        onLoop(() -> chainOfTasks(thread, System.nanoTime() + CHAIN_NANOS / 10));
        assertEquals("the chain has ended", seen.poll(10, TimeUnit.SECONDS));
        onLoop(() -> polls.afterNext(() -> polls.afterNext(() -> seen.add("polled"))));
        assertNotNull(seen.take());
        onLoop(() -> seen.add(String.valueOf(polls.longestMillis())));
        long longest = Long.parseLong(seen.take());
        assertTrue(longest >= 200, "the longest poll: " + longest + " ms");
    }

    /** Guards against a time that stands for a poll on a loop that has had none since its start: what came up unseen was closed. */
    @Test
    void whatWaitsForAPollOfALoopThatIsBusyFromItsStartRunsBehindWhatKeepsItBusy() throws Exception {
        XnioWorker other = Xnio.getInstance().createWorker(OptionMap.create(Options.WORKER_IO_THREADS, 1));
        CountDownLatch goOn = new CountDownLatch(1);
        other.getIoThread().execute(() -> {
            try {
                goOn.await();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
        try (PollCycles fresh = new PollCycles(other.getIoThread())) {
            other.getIoThread().execute(() -> {
                fresh.afterNext(() -> seen.add("after the poll"));
                for (int i = 0; i < CHAINS; i++) {
                    chainOfDueTimers(other.getIoThread(), System.nanoTime() + CHAIN_NANOS / 10);
                }
                keepBusy(); // The chains are due by then, and no poll comes between.
            });
            goOn.countDown();
            assertEquals("a chain has ended", seen.take());
        } finally {
            other.shutdownNow();
        }
    }

    private void chainOfDueTimers(XnioIoThread on, long until) {
        on.executeAfter(() -> {
            keepBusy();
            if (System.nanoTime() < until) {
                chainOfDueTimers(on, until);
            } else {
                seen.add("a chain has ended");
            }
        }, 1, TimeUnit.MILLISECONDS);
    }

    private void chainOfTasks(XnioIoThread on, long until) {
        on.execute(() -> {
            keepBusy();
            if (System.nanoTime() < until) {
                chainOfTasks(on, until);
            } else {
                seen.add("the chain has ended");
            }
        });
    }
}
