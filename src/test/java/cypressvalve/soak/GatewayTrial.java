package cypressvalve.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.PosixFilePermissions;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.io.TempDir;

/** A real gateway process between emulated clients, media hosts and a coordinator, judged from the record. */
abstract class GatewayTrial {
    static final long MOST_MILLIS = 15_000;
    /** What helps to read a broken rule. */
    private static final Set<Event.Kind> CONTEXT = Set.of(Event.Kind.CLIENT_CONNECTED, Event.Kind.CLIENT_LEFT,
        Event.Kind.CONNECTION_ENDED, Event.Kind.SIGNAL, Event.Kind.PROCESS_ENDED);
    final EventRecord record = new EventRecord();
    final List<MediaHostEmulator> hosts = new ArrayList<>();
    private final List<AutoCloseable> opened = new ArrayList<>();
    private CoordinatorEmulator coordinator;
    GatewayProcess gateway;
    private long ids = 0x1000;
    @TempDir
    Path dir;

    /** Starts a gateway with so many media hosts; it listens on return. */
    void start(int hostCount, long aimMillis, long deadlineMillis) throws Exception {
        start(hostCount, aimMillis, deadlineMillis, true);
    }

    void start(int hostCount, long aimMillis, long deadlineMillis, boolean mayTestHosts) throws Exception {
        coordinator = opened(new CoordinatorEmulator());
        for (int i = 0; i < hostCount; i++) {
            hosts.add(opened(new MediaHostEmulator("host-" + i, record)));
            coordinator.list(hosts.get(i), i);
        }
        gateway = opened(new GatewayProcess("gateway", TrialConfig.write(dir.resolve("config.json"), "gateway",
            coordinator, hostCount, aimMillis, deadlineMillis, mayTestHosts), record));
        gateway.address();
    }

    /** Starts a gateway as deploy/gateway.sh does where it has so much memory and so many descriptors. */
    void startDeployed(int hostCount, long deadlineMillis, int memoryMegabytes, int descriptors) throws Exception {
        coordinator = opened(new CoordinatorEmulator());
        for (int i = 0; i < hostCount; i++) {
            hosts.add(opened(new MediaHostEmulator("host-" + i, record)));
            coordinator.list(hosts.get(i), i);
        }
        Path config = TrialConfig.write(dir.resolve("config.json"), "gateway", coordinator, hostCount, deadlineMillis, deadlineMillis);
        Files.writeString(config, Files.readString(config).replaceFirst("\"memory_mb\":[0-9]+", "\"memory_mb\":" + memoryMegabytes)
            .replaceFirst("\"sockets\":[0-9]+", "\"sockets\":" + descriptors));
        gateway = opened(new GatewayProcess("gateway", config, record, null, deployedOptions(config)));
        gateway.address();
    }

    /** The JVM's options by deploy/gateway.sh, but for the archive of classes and the class path, which are this build's. */
    private List<String> deployedOptions(Path config) throws IOException, InterruptedException {
        Path jvm = Files.createDirectories(dir.resolve("path")).resolve("java");
        Files.writeString(jvm, "#!/bin/sh\nfor word in \"$@\"; do echo \"$word\"; done\n");
        Files.setPosixFilePermissions(jvm, PosixFilePermissions.fromString("rwxr-xr-x"));
        ProcessBuilder script = new ProcessBuilder("/bin/sh", "deploy/gateway.sh").redirectErrorStream(true);
        script.environment().put("PATH", jvm.getParent().toString());
        script.environment().put("NODE_CONFIG", config.toString());
        Process process = script.start();
        List<String> words = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8).lines().toList();
        assertEquals(0, process.waitFor(), words::toString);
        return words.subList(0, words.indexOf("-cp")).stream().filter(word -> !word.startsWith("-XX:SharedArchiveFile")).toList();
    }

    /** Another media host's process at that port; the list does not tell of it. */
    MediaHostEmulator openHost(String name, int port) throws IOException {
        return opened(new MediaHostEmulator(name, record, port, false));
    }

    /** The list tells that one host has gone, and that another has its cell. */
    void replace(MediaHostEmulator old, MediaHostEmulator fresh, int cell) throws InterruptedException {
        coordinator.publish(old, cell, "DELETED");
        record.add(Event.Kind.DRAIN_TOLD, old.name(), "", "");
        coordinator.publish(fresh, cell, "SERVING", System.currentTimeMillis());
    }

    private <T extends AutoCloseable> T opened(T resource) {
        opened.add(resource);
        return resource;
    }

    ClientEmulator client(String name) throws IOException, InterruptedException {
        return opened(new ClientEmulator(name, "gateway", gateway.address(), record));
    }

    /** A set-up that any of the hosts may take. */
    ClientEmulator.SetUp request(int patienceMillis) {
        return new ClientEmulator.SetUp(++ids, "a", "t", "abcdef", patienceMillis, hosts.size());
    }

    long answers() {
        return record.count(Event.Kind.ANSWER_SERVED) + record.count(Event.Kind.ANSWER_REFUSED);
    }

    /** Fails with the story of each request for which a rule was broken, the gateway's log included. */
    void assertRulesKept() {
        StringBuilder stories = new StringBuilder();
        for (RecordChecker.Violation violation : RecordChecker.check(record.events())) {
            stories.append(violation).append("\n  ").append(String.join("\n  ", gateway.log(violation.request()))).append('\n');
        }
        if (stories.length() > 0) {
            record.events().stream().filter(event -> CONTEXT.contains(event.kind()))
                .forEach(event -> stories.append("beside it: ").append(event).append('\n'));
            gateway.log().stream().filter(line -> line.contains("CLIENT_C") || line.contains("PROCESS") || line.contains("INVARIANT"))
                .forEach(line -> stories.append("beside it: ").append(line).append('\n'));
        }
        assertEquals("", stories.toString());
    }

    @AfterEach
    void close() throws Exception {
        for (int i = opened.size() - 1; i >= 0; i--) {
            opened.get(i).close();
        }
    }
}
