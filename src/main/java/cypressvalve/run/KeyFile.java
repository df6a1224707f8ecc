package cypressvalve.run;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.GeneralSecurityException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** A key file, of session URIs or of tokens, looked at again while the gateway runs. Reads a disk: never on the loop. */
final class KeyFile {
    private static final Logger LOG = LoggerFactory.getLogger(KeyFile.class);

    private final Path file;
    private final Keys keys;
    private String seen;

    /** What takes a new key set, or leaves the old one in force. */
    interface Keys {
        void replaceKeys(String text) throws GeneralSecurityException;
    }

    /** @param inForce the file's text that the keys in force were read from */
    KeyFile(Path file, Keys keys, String inForce) {
        this.file = file;
        this.keys = keys;
        this.seen = inForce;
    }

    /**
     * Takes the file's keys if its text has changed. What can't be read leaves the keys in force, is told once, and is
     * looked at again when it changes: a file half written is whole the next time.
     *
     * @return whether other keys are in force now
     */
    boolean look() {
        String text;
        try {
            text = Files.readString(file);
        } catch (IOException e) {
            text = "";
        }
        if (text.equals(seen)) {
            return false;
        }
        seen = text;
        try {
            keys.replaceKeys(text);
            LOG.info("keys of {} are in force", file);
            return true;
        } catch (GeneralSecurityException | RuntimeException e) {
            LOG.error("{} can't be read as a key set; the keys before stay in force", file);
            return false;
        }
    }
}
