package cypressvalve.run;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.PosixFilePermissions;
import java.util.Arrays;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** deploy/gateway.sh with a PATH on which there is one program alone, in the JVM's place: any other could not be started. */
@Timeout(30)
class GatewayScriptTest {
    private static final int DEFAULT = (128 - 52) * 3 / 4;
    private static final int MOST = (256 - 52) * 3 / 4;
    @TempDir
    private Path dir;

    /** The heap that the JVM is given, in MB. */
    private int heap(String config) throws IOException, InterruptedException {
        Path path = Files.createDirectories(dir.resolve("path"));
        Path jvm = path.resolve("java");
        if (!Files.exists(jvm)) {
            Files.writeString(jvm, "#!/bin/sh\nfor word in \"$@\"; do echo \"$word\"; done\n");
            Files.setPosixFilePermissions(jvm, PosixFilePermissions.fromString("rwxr-xr-x"));
        }
        ProcessBuilder run = new ProcessBuilder("/bin/sh", "deploy/gateway.sh").redirectErrorStream(true);
        run.environment().clear();
        run.environment().put("PATH", path.toString());
        if (config != null) {
            run.environment().put("NODE_CONFIG", config);
        }
        Process process = run.start();
        String said = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        assertEquals(0, process.waitFor(), said);
        String[] words = said.split("\n");
        assertEquals("-Xms", words[0].substring(0, 4), said);
        assertEquals("serve", words[words.length - 1], said);
        return Arrays.stream(words).filter(w -> w.startsWith("-Xmx")).mapToInt(w -> Integer.parseInt(w.replaceAll("[^0-9]", "")))
            .findFirst().orElseThrow();
    }

    private int heapOf(String text) throws IOException, InterruptedException {
        return heap(Files.writeString(dir.resolve("config.json"), text).toString());
    }

    @ParameterizedTest
    @CsvSource(delimiter = '|', quoteCharacter = '`', value = {
        "{\"limits\":{\"cores\":1.0,\"memory_mb\":152,\"sockets\":256}} | 152",
        "{\"limits\":{\"memory_mb\":152}} | 152",
        "{ \"limits\" : { \"sockets\" : 256 , \"memory_mb\" : 96 } } | 96",
        "{\"name\":\"memory_mb\",\"limits\":{\"memory_mb\":152.0}} | 152",
        "{\"known\":{\"a\":[\"*\",\"$(false)\",\"`x`\"]},\"limits\":{\"memory_mb\":96}} | 96",
        "{\"limits\":{\"memory_mb\":096}} | 96"})
    void theLimitIsReadFromOneLine(String text, int limit) throws Exception {
        assertEquals((limit - 52) * 3 / 4, heapOf(text));
        assertEquals((limit - 52) * 3 / 4, heapOf(text + "\n"));
    }

    @Test
    void theLimitIsReadFromManyLines() throws Exception {
        assertEquals((140 - 52) * 3 / 4, heapOf("{\n  \"limits\": {\r\n    \"memory_mb\":\r\n\t140,\n    \"sockets\": 3\n  }\n}\n"));
    }

    /** A list of hosts before the limits must not cost seconds. */
    @Test
    void aLongLineBeforeTheLimitIsNoBurden() throws Exception {
        String host = "{\"instanceId\":\"h-1\",\"hostPort\":\"127.0.0.1:2\",\"lifecycle\":\"SERVING\",\"startedAtMs\":0},";
        assertEquals((140 - 52) * 3 / 4, heapOf("{\"known\":[" + host.repeat(1000) + "{}],\"limits\":{\"memory_mb\":140}}"));
    }

    @Test
    void withoutALimitThatCanBeReadTheDefaultHolds() throws Exception {
        assertEquals(DEFAULT, heap(null));
        assertEquals(DEFAULT, heap(dir.resolve("none.json").toString()));
        assertEquals(DEFAULT, heap(dir.toString()));
        assertEquals(DEFAULT, heapOf(""));
        assertEquals(DEFAULT, heapOf("{\"limits\":{\"memory_mb\":\"much\"}}"));
        assertEquals(DEFAULT, heapOf("{\"limits\":{\"memory_mb\":99999999999999999999}}"));
        assertEquals(DEFAULT, heapOf("\u0000\u0001 no JSON"));
    }

    @Test
    void theHeapIsBoundBelowAndAbove() throws Exception {
        assertEquals(10, heapOf("{\"limits\":{\"memory_mb\":32}}"));
        assertEquals(10, heapOf("{\"limits\":{\"memory_mb\":0}}"));
        assertEquals(MOST, heapOf("{\"limits\":{\"memory_mb\":2048}}"));
    }
}
