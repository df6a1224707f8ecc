package cypressvalve.soak;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** The emulated coordinator says what the platform's says, and no more. */
@Timeout(30)
class CoordinatorEmulatorTest {
    private static final int STREAMS = 8;
    private static final int COMMENTS = 3;
    /** The protocol: a comment a second. */
    private static final long COMMENT_MILLIS = 1_000;

    /** Guards against streams that wake each other with each comment, without end: a load on trials that is in no plan. */
    @Test
    void aCommentToOneStreamCausesNoneToTheOthers() throws Exception {
        try (CoordinatorEmulator coordinator = new CoordinatorEmulator()) {
            List<Socket> streams = new ArrayList<>();
            long begin = System.nanoTime();
            for (int i = 0; i < STREAMS; i++) {
                streams.add(open(coordinator));
            }
            for (Socket stream : streams) {
                awaitComments(stream);
                stream.close();
            }
            long tookMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - begin);
            assertTrue(tookMillis >= COMMENTS * COMMENT_MILLIS, COMMENTS + " comments came in " + tookMillis + " ms");
        }
    }

    private static Socket open(CoordinatorEmulator coordinator) throws IOException {
        Socket stream = new Socket(coordinator.address().getAddress(), coordinator.address().getPort());
        stream.getOutputStream().write("GET / HTTP/1.1\r\nHost: c\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
        return stream;
    }

    private static void awaitComments(Socket stream) throws IOException {
        BufferedReader in = new BufferedReader(new InputStreamReader(stream.getInputStream(), StandardCharsets.US_ASCII));
        for (int comments = 0; comments < COMMENTS; ) {
            if (in.readLine().startsWith(":")) {
                comments++;
            }
        }
    }
}
