package cypressvalve.accesslog;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cypressvalve.load.source.Item;
import cypressvalve.load.source.LogFiles;
import cypressvalve.load.source.Source;
import cypressvalve.load.source.SourceSettings;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;

/** What our servers write reads again, whatever viewers send. */
class AccessLineTest {
    @Property(tries = 200, seed = "31", shrinking = ShrinkingMode.OFF)
    void anyAgentReadsAgainAsItWas(@ForAll String agent) throws IOException {
        Path file = Files.createTempFile("access", ".log");
        try (AccessLog log = new AccessLog(file)) {
            log.put(new AccessLine("192.0.2.1", 1_774_746_000_250_000_000L, 1_500_000_000L, "GET /play/a%22b?x=1 HTTP/1.1",
                200, 17, "", agent, "sid=\"a\\b\"", "g0-1"));
        }
        try (Source source = LogFiles.open(List.of(file), SourceSettings.of(SourceSettings.Kind.OWN), 0, 0)) {
            Item item = source.next();
            assertTrue(item.hit() != null, () -> item.reason());
            assertEquals("/play/a%22b?x=1", item.hit().uri());
            String sent = new String(agent.getBytes(java.nio.charset.StandardCharsets.UTF_8),
                java.nio.charset.StandardCharsets.UTF_8);
            assertEquals(sent.equals("-") ? "" : sent, item.hit().agent());
            assertEquals("sid=\"a\\b\"", item.hit().cmcd());
            assertEquals("g0-1", item.hit().more().get("field:sent-session"));
            assertEquals(1_774_746_000_250_000_000L, item.hit().at());
            assertEquals(1_500_000_000L, item.hit().took());
        } finally {
            Files.delete(file);
        }
    }
}
