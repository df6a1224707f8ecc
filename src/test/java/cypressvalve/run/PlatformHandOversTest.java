package cypressvalve.run;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.Socket;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Sessions that are handed over beside others that somebody made up. */
@Timeout(30)
class PlatformHandOversTest extends NodeScene {
    private static final String STANDS = "home:0;copies:1;top:2;at:h-1";
    private static final long MADE_UP = 1L << 32;
    private static final int MANY = 6_000;
    private static final long STANDING = 7;
    private long pings = 1L << 40;

    /** Returns once what was written before on that connection was taken. */
    private void settled(Socket viewer) throws IOException {
        viewer.getOutputStream().write(message(52, ++pings));
        while (!heard(viewer).startsWith("53 " + pings)) {
            continue; // Something else is told before.
        }
    }

    private Socket makesUpSessions() throws IOException {
        Socket client = viewer();
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        for (long id = MADE_UP; id < MADE_UP + MANY; id++) {
            all.writeBytes(setUp(id, "a", STANDS));
        }
        Thread writes = new Thread(() -> {
            try {
                client.getOutputStream().write(all.toByteArray());
            } catch (IOException e) {
                throw new java.io.UncheckedIOException(e);
            }
        });
        writes.start();
        settled(client);
        return client;
    }

    /** Guards against an honest hand-over that is refused, dropped or never ended as thousands of made-up ids came before it. */
    @Test
    void theEndOfASessionThatWasHandedOverBehindThousandsOfMadeUpOnesIsTold() throws Exception {
        try (Socket bad = makesUpSessions(); Socket viewer = viewer(); Socket line = host.accept()) {
            viewer.getOutputStream().write(setUp(STANDING, "a", STANDS));
            settled(viewer);
            say(line, "TEARDOWN rtsp://media/s RTSP/1.0\r\nCSeq: 2\r\nSession: 000000000000000" + STANDING + "\r\nReason: cause=16", "");
            assertEquals("12 " + STANDING + " 16", heard(viewer));
        }
    }

    /** Guards against a session of which its host has spoken that stays without decisions: it gets its rungs as any other. */
    @Test
    void aSessionOfWhichItsHostSpeaksIsEndedByItsViewersWordAsAnyOther() throws Exception {
        try (Socket bad = makesUpSessions(); Socket viewer = viewer(); Socket line = host.accept()) {
            viewer.getOutputStream().write(setUp(STANDING, "a", STANDS));
            settled(viewer);
            say(line, "ANNOUNCE rtsp://media/s RTSP/1.0\r\nCSeq: 4\r\nSession: 000000000000000" + STANDING
                + "\r\nX-Diagnosis: at_rung\r\nX-Reading: 1", "");
            viewer.getOutputStream().write(message(12, STANDING, "171", "\u0010"));
            assertEquals("16 " + STANDING + " ", heard(viewer));
            String told = head(reader(line));
            while (!told.startsWith("TEARDOWN")) {
                told = head(reader(line));
            }
        }
    }
}
