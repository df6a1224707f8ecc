package cypressvalve;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;

/** The files that hold the decisions stay within what the users allow them. */
class PolicyLinesTest {
    private static final int MOST_LINES = 830;
    private static final Pattern POLICY = Pattern.compile("(?m)^policy = \\[(.*?)]");
    private static final Pattern NAME = Pattern.compile("\"([^\"]+)\"");

    private static List<Path> policyFiles() throws IOException {
        String files = POLICY.matcher(Files.readString(Path.of("deploy/balancer.toml"))).results().findFirst().orElseThrow().group(1);
        return NAME.matcher(files).results().map(name -> Path.of(name.group(1))).toList();
    }

    private static long lines(Path file) {
        try {
            return Files.readAllLines(file).stream().filter(line -> !line.isBlank()).count();
        } catch (IOException e) {
            throw new java.io.UncheckedIOException(e);
        }
    }

    /** Guards against growth that nobody notices, as once to 837. */
    @Test
    void theFilesUnderPolicyHoldNoMoreLinesThanAllowed() throws IOException {
        List<Path> files = policyFiles();
        assertFalse(files.isEmpty());
        long lines = files.stream().mapToLong(PolicyLinesTest::lines).sum();
        assertTrue(lines <= MOST_LINES, lines + " lines that are not blank");
    }
}
