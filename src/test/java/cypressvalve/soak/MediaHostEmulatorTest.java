package cypressvalve.soak;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** An emulated media host takes connections as fast as a real one would. */
@Timeout(60)
class MediaHostEmulatorTest {
    private static final int CONNECTIONS = 200;

    /** Guards against two new threads for each connection: on a busy machine the system's queue of connections overflows behind them. */
    @Test
    void connectionsOneAfterAnotherAreServedByThreadsThatThereAre() throws Exception {
        try (MediaHostEmulator host = new MediaHostEmulator("host-0", new EventRecord())) {
            long before = ManagementFactory.getThreadMXBean().getTotalStartedThreadCount();
            for (int i = 0; i < CONNECTIONS; i++) {
                useOnce(host);
            }
            long started = ManagementFactory.getThreadMXBean().getTotalStartedThreadCount() - before;
            assertTrue(started < CONNECTIONS, started + " threads for " + CONNECTIONS + " connections");
        }
    }

    private static void useOnce(MediaHostEmulator host) throws IOException {
        try (Socket socket = new Socket(host.address().getAddress(), host.address().getPort())) {
            socket.getOutputStream().write("OPTIONS rtsp://media/s RTSP/1.0\r\nCSeq: 3\r\nSession: 0\r\nContent-Length: 0\r\n\r\n"
                .getBytes(StandardCharsets.US_ASCII));
            assertTrue(socket.getInputStream().read() >= 0, "no answer");
        }
    }
}
