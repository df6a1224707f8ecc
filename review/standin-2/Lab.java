import java.io.IOException;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/** One run of a case: its record, its temporary folder and the gateways that it starts by the deploy file. */
final class Lab implements AutoCloseable {
    static final int HELD = 0;
    static final int BROKEN = 1;
    static final int COULD_NOT_RUN = 2;

    /** Whether the case's disruption is to happen. */
    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    final Path folder;
    private final long begun = System.nanoTime();
    private final PrintWriter record;
    private final List<Process> processes = new ArrayList<>();

    /** A case: what it does and what it returns as its exit code. */
    interface Case {
        int run(Lab lab) throws Exception;
    }

    /** A run takes no longer, whatever happens. */
    private static final long LONGEST_MS = 115_000;

    private Lab(Path recordFile) throws IOException {
        record = new PrintWriter(Files.newBufferedWriter(recordFile));
        folder = Files.createTempDirectory("review-2-");
    }

    /** Runs a case in the folder of the working directory's checkout and ends the process with its code. */
    static void main(String recordFile, Case what) {
        int code = COULD_NOT_RUN;
        try (Lab lab = new Lab(Path.of(recordFile))) {
            lab.note("trouble " + lab.trouble);
            lab.endInTime();
            try {
                code = what.run(lab);
            } catch (Exception e) {
                lab.note("the case could not run: " + e);
                e.printStackTrace();
            }
            lab.note("exit code " + code);
        } catch (IOException e) {
            e.printStackTrace();
        }
        Runtime.getRuntime().halt(code);
    }

    /** Guards against processes that are left behind: by a signal to this one, or as a run takes too long. */
    private void endInTime() {
        Runtime.getRuntime().addShutdownHook(new Thread(() -> processes.forEach(Process::destroyForcibly)));
        Thread guard = new Thread(() -> {
            try {
                Thread.sleep(LONGEST_MS);
            } catch (InterruptedException e) {
                return;
            }
            note("it took too long");
            System.exit(COULD_NOT_RUN);
        });
        guard.setDaemon(true);
        guard.start();
    }

    /** Waits until that time of the run. */
    void until(long millis) throws InterruptedException {
        Thread.sleep(Math.max(0, millis - now()));
    }

    /** Milliseconds since the run began. */
    long now() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - begun);
    }

    synchronized void note(String what) {
        record.printf("%7d %s%n", now(), what);
        record.flush();
    }

    /** Writes to the record and to standard output. */
    void say(String what) {
        note(what);
        System.out.println(what);
    }

    static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return socket.getLocalPort();
        }
    }

    /** Starts a gateway with the deploy file's command; its log goes to a file of the temporary folder. */
    Process gateway(String name, int port, String config) throws IOException {
        Path file = folder.resolve(name + ".json");
        Files.writeString(file, config);
        String run = Files.readAllLines(Path.of("deploy/balancer.toml")).stream().filter(l -> l.startsWith("run = "))
            .map(l -> l.substring(l.indexOf('"') + 1, l.indexOf('"', l.indexOf('"') + 1))).findFirst().orElseThrow();
        Path own = Files.createDirectory(folder.resolve(name + "-tmp-" + processes.size()));
        ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", run)
            .redirectErrorStream(true).redirectOutput(folder.resolve(name + "-" + processes.size() + ".log").toFile());
        builder.environment().put("NODE_NAME", name);
        builder.environment().put("NODE_LISTEN", "127.0.0.1:" + port);
        builder.environment().put("NODE_CONFIG", file.toString());
        builder.environment().put("TMPDIR", own.toString());
        Process process = builder.start();
        processes.add(process);
        note("gateway " + name + " started, process " + process.pid());
        return process;
    }

    /** Waits until the gateway passes a test, for 30 s at most. */
    void awaitReady(int port) throws Exception {
        for (long end = now() + 30_000; now() < end; ) {
            try (Client client = new Client(this, "front", port)) {
                for (int i = 0; i < 20; i++) {
                    if (client.test(1 + i)) {
                        note("the gateway at port " + port + " has passed a test");
                        return;
                    }
                    Thread.sleep(50);
                }
            } catch (IOException e) {
                Thread.sleep(100);
            }
        }
        throw new IOException("no gateway was ready within 30 s");
    }

    /** The last lines of the gateways' logs go to the record. */
    private void keepLogs() throws IOException {
        try (Stream<Path> files = Files.list(folder)) {
            for (Path log : files.filter(f -> f.toString().endsWith(".log")).sorted().collect(Collectors.toList())) {
                List<String> lines = Files.readAllLines(log);
                note("log of " + log.getFileName() + ", its last lines of " + lines.size());
                lines.subList(Math.max(0, lines.size() - 30), lines.size()).forEach(l -> record.println("        | "
                    + l.replace(folder.toString(), "TMP")));
            }
        }
    }

    @Override
    public void close() throws IOException {
        for (Process process : processes) {
            process.destroyForcibly();
            try {
                process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        keepLogs();
        record.close();
        try (Stream<Path> files = Files.walk(folder)) {
            files.sorted(Comparator.reverseOrder()).forEach(f -> f.toFile().delete());
        }
    }
}
