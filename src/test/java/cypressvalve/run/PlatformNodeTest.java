package cypressvalve.run;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cypressvalve.config.BadSettings;
import cypressvalve.config.PlatformSettings;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** The platform's gateway whole, on loopback: the test is viewer, media host and coordinator, with codecs of its own. */
@Timeout(30)
class PlatformNodeTest extends NodeScene {
    @Test
    void aViewerIsTestedServedByAHostAndToldWhenItIsCut() throws Exception {
        try (Socket viewer = viewer()) {
            viewer.getOutputStream().write(message(52, 7));
            assertEquals("53 7 1", heard(viewer));
            viewer.getOutputStream().write(setUp(8, "a", "home:0;copies:1;top:2"));
            Socket line = served("0000000000000008");
            assertEquals("9 8 host's", heard(viewer));
            say(line, "TEARDOWN rtsp://media/s RTSP/1.0\r\nCSeq: 2\r\nSession: 0000000000000008\r\nReason: cause=41", "");
            assertEquals("12 8 41", heard(viewer));
        }
    }

    /** Its viewer's connection has gone: the end goes out on another, as soon as there is one. */
    @Test
    void anEndIsToldOnAnotherConnection() throws Exception {
        Socket first = viewer();
        first.getOutputStream().write(setUp(8, "a", "home:0;copies:1;top:2;at:h-1"));
        first.getOutputStream().write(message(52, 7));
        assertEquals("53 7 1", heard(first), "a hand-over wants no answer");
        Socket line = host.accept();
        first.close();
        say(line, "TEARDOWN rtsp://media/s RTSP/1.0\r\nCSeq: 2\r\nSession: 0000000000000008\r\nReason: cause=16", "");
        head(reader(line));
        try (Socket second = viewer()) {
            second.getOutputStream().write(setUp(9, "a", "home:0;copies:1;top:2"));
            assertEquals("12 8 16", heard(second));
        }
    }

    @Test
    void badClientsAreRefusedOrClosedAndOthersServed() throws Exception {
        try (Socket silent = viewer(); Socket noise = viewer(); Socket again = viewer(); Socket unknown = viewer()) {
            unknown.getOutputStream().write(setUp(8, "nobody's", "home:0;copies:1;top:2"));
            assertEquals("12 8 100", heard(unknown));
            noise.getOutputStream().write(new byte[] {0, 1, 2, 3});
            assertEquals(-1, noise.getInputStream().read());
            again.getOutputStream().write(setUp(9, "a", "home:0;copies:1;top:2"));
            again.getOutputStream().write(setUp(9, "a", "home:1;copies:1;top:2"));
            assertEquals(-1, again.getInputStream().read(), "an id is used once");
            assertEquals(-1, silent.getInputStream().read(), "who says nothing is closed");
        }
    }

    @Test
    void theListIsReadOnOverABreakAndAtAnotherAddress() throws Exception {
        String event = "id: 2\ndata: {\"index\":2,\"endpoints\":{\"generation\":2,\"reset\":false,\"instances\":[{\"instanceId\":"
            + "\"h-1\",\"hostPort\":\"127.0.0.1:2\",\"zone\":\"z\",\"machineType\":\"std\",\"cell\":0,\"lifecycle\":\"DELETED\","
            + "\"weight\":1,\"startedAtMs\":0}]}}\n\n";
        assertTrue(streamAsked.contains("Last-Event-ID: 1\n"), streamAsked);
        stream.getOutputStream().write(event.substring(0, 60).getBytes(StandardCharsets.UTF_8));
        stream.close();
        try (Socket whole = coordinator.accept(); Socket viewer = viewer()) {
            assertTrue(head(reader(whole)).contains("Last-Event-ID: 1\n"), "what was cut is asked for again");
            whole.getOutputStream().write((OK + event + event).getBytes(StandardCharsets.UTF_8));
            node.reload(settings(next));
            Socket moved = next.accept();
            String asked = head(reader(moved));
            assertTrue(asked.contains("Last-Event-ID: "), asked);
            moved.getOutputStream().write((OK + event).getBytes(StandardCharsets.UTF_8));
            assertEquals(-1, whole.getInputStream().read(), "the old stream is left");
            String answer;
            long id = 10;
            do { // The event is on its way: the only holder is gone once it has come.
                viewer.getOutputStream().write(setUp(++id, "a", "home:0;copies:1;top:2;at:h-1"));
                viewer.getOutputStream().write(message(52, 7));
                answer = heard(viewer);
            } while (answer.startsWith("53"));
            assertEquals("12 " + id + " 41", answer);
        }
    }

    @Test
    void aConfigurationThatCanNotBeReadNamesItsField() throws IOException {
        Path file = dir.resolve("bad.json");
        Files.writeString(file, Files.readString(Path.of("deploy/archive.json")).replace("\"sockets\": 256", "\"sockets\": 0"));
        assertEquals(file + ": limits.sockets: expected a number over 0",
            assertThrows(BadSettings.class, () -> PlatformSettings.read(file, null)).getMessage());
    }
}
