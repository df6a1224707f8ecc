package cypressvalve.cli;

import cypressvalve.front.hls.SessionUris;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.attribute.PosixFilePermissions;
import java.security.GeneralSecurityException;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Key sets of session URIs. */
@Command(name = "keys", mixinStandardHelpOptions = true,
    description = "Writes a fresh key set for session URIs, or adds a new primary key to one; old keys still verify.")
final class KeysCommand implements Callable<Integer> {
    @Parameters(paramLabel = "FILE", description = "the key set's file; only its owner may read it")
    private Path file;

    @Option(names = "--rotate", description = "add a new primary key to the file's set")
    private boolean rotate;

    @Override
    public Integer call() throws IOException {
        if (!rotate && Files.exists(file)) {
            throw new Commands.Refusal(file + ": is there already; --rotate adds a key");
        }
        String keys;
        try {
            keys = rotate ? SessionUris.rotated(Files.readString(file)) : SessionUris.freshKeys();
        } catch (GeneralSecurityException e) {
            throw new Commands.Refusal(file + ":1: expected a key set in Tink's JSON form");
        }
        // Written beside and renamed, so that a gateway never reads half a set.
        Path fresh = Files.createTempFile(file.toAbsolutePath().getParent(), "keys", ".new",
            PosixFilePermissions.asFileAttribute(PosixFilePermissions.fromString("rw-------")));
        Files.writeString(fresh, keys);
        Files.move(fresh, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
        return 0;
    }
}
