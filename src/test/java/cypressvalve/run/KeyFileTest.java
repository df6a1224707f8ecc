package cypressvalve.run;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cypressvalve.front.hls.SessionUris;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class KeyFileTest {
    @TempDir
    Path directory;

    private static SessionUris.Named verified(SessionUris by, String path) {
        String[] parts = path.split("/");
        return by.verified(parts[2], parts[3], parts[4], parts[5], 0);
    }

    @Test
    void aRunningGatewayTakesRotatedKeysAndKeepsTheOldOnesSessions() throws Exception {
        String first = SessionUris.freshKeys();
        Path file = Files.writeString(directory.resolve("keys.json"), first);
        SessionUris uris = new SessionUris(first);
        KeyFile keys = new KeyFile(file, uris::replaceKeys, first);
        String before = uris.path(new SessionUris.Named("t", "s", 9));
        assertFalse(keys.look(), "nothing has changed");
        Files.writeString(file, SessionUris.rotated(first));
        assertTrue(keys.look());
        String after = uris.path(new SessionUris.Named("t", "s", 9));
        assertNotNull(verified(uris, before), "sessions that play go on");
        assertNull(verified(new SessionUris(first), after), "new ones are signed with the new key");
        assertFalse(keys.look());
    }

    @Test
    void aFileThatIsGoneOrHalfWrittenLeavesTheKeysInForce() throws Exception {
        String first = SessionUris.freshKeys();
        Path file = Files.writeString(directory.resolve("keys.json"), first);
        SessionUris uris = new SessionUris(first);
        KeyFile keys = new KeyFile(file, uris::replaceKeys, first);
        String path = uris.path(new SessionUris.Named("t", "s", 9));
        Files.delete(file);
        assertFalse(keys.look());
        String rotated = SessionUris.rotated(first);
        Files.writeString(file, rotated.substring(0, rotated.length() / 2));
        assertFalse(keys.look());
        assertNotNull(verified(uris, path));
        Files.writeString(file, rotated);
        assertTrue(keys.look(), "whole, it is taken");
    }
}
