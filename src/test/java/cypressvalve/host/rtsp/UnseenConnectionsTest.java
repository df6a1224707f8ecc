package cypressvalve.host.rtsp;

import static org.junit.jupiter.api.Assertions.assertEquals;

import cypressvalve.diagnostics.EventLog;
import cypressvalve.host.AttemptGuard;
import cypressvalve.host.HostLimits;
import java.io.BufferedReader;
import java.io.IOException;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Connections that the media host has taken while the loop was kept from its sockets by timers and tasks, as set-ups of a crowd do. */
@Timeout(20)
class UnseenConnectionsTest extends RtspScene {
    private static final String END = "TEARDOWN rtsp://media/s RTSP/1.0\r\nCSeq: 2\r\nSession: 00000000000000aa\r\nReason: cause=16";
    private static final String NOTE = "ANNOUNCE rtsp://media/s RTSP/1.0\r\nSession: 00000000000000bb\r\nX-Diagnosis: served\r\nX-Reading: 0.7";
    private static final String NOTED = "delivered 00000000000000bb 0.7";
    private static final String CONNECTION_FAILED = "back 00000000000000cc NO_CONNECTION";
    private static final HostLimits SHORT = new HostLimits(250_000_000L, 250_000_000L, 0, 2);
    /** Several connect timeouts. */
    private static final long BUSY_MILLIS = 800;
    private static final int CHAINS = 4;
    /** The chains are under way by then. */
    private static final long BEGUN_MILLIS = 20;
    private static final long TASK_NANOS = 1_000_000L;
    /** The protocol's time for an end to reach its client. */
    private static final int TOLD_WITHIN_MILLIS = 1_000;

    UnseenConnectionsTest() throws IOException { }

    @BeforeEach
    void useShortTimeouts() {
        used = new RtspHostClient(polls, SHORT, 60_000_000_000L, 8, 16, ByteBuffer.allocate(4096), false, AttemptGuard.NONE, notes(),
            new EventLog(64));
    }

    /** Runs the task among timers that are due again while others run, with no poll of the sockets between them. */
    private void whileBusy(Runnable task) {
        long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(BUSY_MILLIS);
        for (int i = 0; i < CHAINS; i++) {
            keepBusy(until);
        }
        worker.getIoThread().executeAfter(task, BEGUN_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void keepBusy(long until) {
        worker.getIoThread().executeAfter(() -> {
            long taskUntil = System.nanoTime() + TASK_NANOS;
            while (System.nanoTime() < taskUntil) {
                Thread.onSpinWait();
            }
            if (System.nanoTime() < until) {
                keepBusy(until);
            }
        }, 1, TimeUnit.MILLISECONDS);
    }

    /** Guards against ends on connections that count as never up, as only time-outs and no poll had come by then. */
    @Test
    void anEndOnAConnectionThatCameUpWhileTasksKeptTheLoopFromItsSocketsIsRead() throws Exception {
        whileBusy(() -> used.follow(host, true));
        say(server.accept(), END, "");
        assertEquals("ended 00000000000000aa OK", told.take());
    }

    /** Guards against ends on connections that were reset before they were seen, after which no other was opened. */
    @Test
    void aConnectionThatWasResetBeforeItWasSeenIsFollowedByAnotherThoughTheHostSpeaks() throws Exception {
        onLoop(() -> setUp("00000000000000bb"));
        Socket first = server.accept();
        BufferedReader in = reader(first);
        message(in);
        say(first, NOTE, "");
        assertEquals(NOTED, told.take());
        whileBusy(() -> {
            used.follow(host, true);
            setUp("00000000000000cc");
        });
        Socket second = server.accept();
        say(second, END, "");
        second.setSoLinger(true, 0);
        second.close();
        server.setSoTimeout(TOLD_WITHIN_MILLIS + (int) BUSY_MILLIS);
        for (int i = 0; i < 20; i++) {
            say(first, NOTE, "");
            assertEquals(NOTED, nextOtherThan(CONNECTION_FAILED));
            TimeUnit.MILLISECONDS.sleep(20); // The host's own pace.
        }
        say(server.accept(), END, "");
        assertEquals("ended 00000000000000aa OK", told.take());
    }

    private String nextOtherThan(String expected) throws InterruptedException {
        String next = told.take();
        return next.equals(expected) ? told.take() : next;
    }
}
