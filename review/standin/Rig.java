import java.io.IOException;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;

/**
 * What all cases share: the record, the gateway's process started by the deploy file's command, the configuration,
 * and the end of all that was started. Exit codes: 0 the rule held, 1 it was broken, 2 the case couldn't run.
 */
final class Rig {
    static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));
    static final String LOCAL = "127.0.0.1";
    /** The case's begin on the wall clock; stand-ins in processes of their own are given it. */
    static final long ORIGIN_MS = System.getenv("ORIGIN_MS") == null ? System.currentTimeMillis() : Long.parseLong(System.getenv("ORIGIN_MS"));
    private static final long BEGUN_MS = System.currentTimeMillis();
    private static final long BEGUN = System.nanoTime();
    private static final int LONGEST_S = 112;

    final Path folder;
    final Path temporary;
    private final PrintWriter record;
    private final List<Process> processes = new ArrayList<>();
    private final List<Path> logs = new ArrayList<>();
    private boolean broken;

    interface Scenario {
        void play(Rig rig) throws Exception;
    }

    private Rig(String folder) throws IOException {
        this.folder = Path.of(folder);
        temporary = Files.createTempDirectory("review-case");
        record = new PrintWriter(Files.newBufferedWriter(this.folder.resolve("record.txt")), false);
        Runtime.getRuntime().addShutdownHook(new Thread(this::end));
    }

    /** For a stand-in in a process of its own: its record goes to the case by standard output. */
    private Rig() {
        folder = null;
        temporary = null;
        record = new PrintWriter(System.out, true);
    }

    static Rig inChild() {
        return new Rig();
    }

    /** What a stand-in in a process of its own tells the case, beside its record. */
    void told(String what, String session) {
        if (folder == null) {
            synchronized (record) {
                record.println("= " + what + " " + session + " " + ms());
                record.flush();
            }
        }
    }

    /** Starts a stand-in as a process of its own. Lines that begin with "= " go to the taker, the others to the record. */
    Process child(java.util.function.Consumer<String[]> taker, String... command) throws IOException {
        List<String> all = new ArrayList<>(List.of(Path.of(System.getProperty("java.home"), "bin", "java").toString(), "-Xmx64m", "-cp",
            System.getProperty("java.class.path")));
        all.addAll(List.of(command));
        ProcessBuilder builder = new ProcessBuilder(all).redirectErrorStream(true);
        builder.environment().put("ORIGIN_MS", Long.toString(ORIGIN_MS));
        Process process = builder.start();
        synchronized (processes) {
            processes.add(process);
        }
        Coordinator.thread(() -> {
            try (java.io.BufferedReader in = process.inputReader()) {
                for (String line = in.readLine(); line != null; line = in.readLine()) {
                    if (line.startsWith("= ")) {
                        taker.accept(line.split(" "));
                    } else {
                        synchronized (record) {
                            record.println(line);
                        }
                    }
                }
            } catch (IOException e) {
                // It has ended.
            }
        });
        return process;
    }

    static void main(String[] arguments, Scenario scenario) {
        Rig rig;
        try {
            rig = new Rig(arguments[0]);
        } catch (IOException e) {
            System.out.println("the case couldn't run: " + e);
            System.exit(2);
            return;
        }
        Thread watch = new Thread(() -> {
            pause(LONGEST_S * 1000L);
            rig.note("rig", "the case took over " + LONGEST_S + " s");
            System.exit(2);
        });
        watch.setDaemon(true);
        watch.start();
        int code;
        try {
            rig.note("rig", TROUBLE ? "with the disruption" : "without the disruption");
            scenario.play(rig);
            code = rig.broken ? 1 : 0;
        } catch (Throwable e) {
            rig.note("rig", "the case couldn't run: " + e);
            e.printStackTrace();
            code = 2;
        }
        rig.note("rig", code == 0 ? "RULE HELD" : code == 1 ? "RULE BROKEN" : "COULD NOT RUN");
        System.exit(code);
    }

    /** Milliseconds since the case began. */
    static double ms() {
        return BEGUN_MS - ORIGIN_MS + (System.nanoTime() - BEGUN) / 1e6;
    }

    static void pause(long ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    void note(String party, String what) {
        synchronized (record) {
            record.printf("%10.1f %-12s %s%n", ms(), party, what);
            record.flush();
        }
    }

    /** A result that goes to the record and to standard output. */
    void say(String what) {
        note("check", what);
        System.out.println(what);
    }

    void broken(String what) {
        broken = true;
        say("BROKEN: " + what);
    }

    static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(LOCAL))) {
            return socket.getLocalPort();
        }
    }

    /** One gateway, by the deploy file's `run`; wait for its listener with Viewer.ready. */
    Process gateway(String name, int port, Path config) throws IOException {
        String run = null;
        for (String line : Files.readAllLines(Path.of("deploy/balancer.toml"))) {
            if (line.matches("run\\s*=.*")) {
                run = line.replaceFirst("^run\\s*=\\s*\"([^\"]*)\".*$", "$1");
            }
        }
        if (run == null || !Files.exists(Path.of("target/cypressvalve.jar"))) {
            throw new IOException("no run line in the deploy file, or no jar: build first");
        }
        ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", run);
        Path log = temporary.resolve(name + "-" + logs.size() + ".log");
        logs.add(log);
        builder.redirectErrorStream(true).redirectOutput(log.toFile());
        builder.environment().put("NODE_NAME", name);
        builder.environment().put("NODE_LISTEN", LOCAL + ":" + port);
        builder.environment().put("NODE_CONFIG", config.toString());
        builder.environment().put("TMPDIR", Files.createDirectories(temporary.resolve("tmp-" + logs.size())).toString());
        if (System.getenv("GATEWAY_JAVA_OPTIONS") != null) {
            builder.environment().put("JAVA_TOOL_OPTIONS", System.getenv("GATEWAY_JAVA_OPTIONS")); // To look at events by hand.
        }
        Process process = builder.start();
        synchronized (processes) {
            processes.add(process);
        }
        note("rig", "gateway " + name + " started, process " + process.pid() + ", port " + port);
        return process;
    }

    void signal(Process process, String signal) throws Exception {
        note("rig", "SIG" + signal + " to process " + process.pid());
        new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).inheritIO().start().waitFor();
    }

    private void end() {
        synchronized (processes) {
            for (Process process : processes) {
                process.destroyForcibly();
                try {
                    process.waitFor(5, TimeUnit.SECONDS);
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            }
            processes.clear();
        }
        synchronized (record) {
            for (Path log : logs) {
                record.println("---- log of " + log.getFileName());
                try {
                    Files.readAllLines(log, StandardCharsets.ISO_8859_1).forEach(record::println);
                } catch (IOException e) {
                    record.println(e);
                }
            }
            record.flush();
        }
        try (var files = Files.walk(temporary)) {
            files.sorted(java.util.Comparator.reverseOrder()).forEach(f -> f.toFile().delete());
        } catch (IOException e) {
            // The system clears its temporary folder.
        }
    }

    private static final Random CHANCE = new Random(41);

    static long id() {
        return CHANCE.nextLong() | 1;
    }

    static String hex(long id) {
        return String.format("%016x", id);
    }

    /** An entry of the list. */
    static String entry(String id, int port, int cell, String state, long startedAtMs) {
        return "{\"instanceId\":\"" + id + "\",\"hostPort\":\"" + LOCAL + ":" + port + "\",\"zone\":\"santiago-1\",\"machineType\":\"two-core\","
            + "\"cell\":" + cell + ",\"lifecycle\":\"" + state + "\",\"weight\":4,\"startedAtMs\":" + startedAtMs + "}";
    }

    static String event(long index, boolean reset, String entries) {
        return "{\"index\":" + index + ",\"endpoints\":{\"generation\":" + index + ",\"reset\":" + reset + ",\"instances\":[" + entries + "]}}";
    }

    /** Settings as on the wire's page, for a fleet with so many cells. */
    static String settings(int cells, String more) {
        return "{\"azs\":[\"santiago-1\"],\"family\":\"streams\",\"blend\":{\"whole\":0.5,\"worstClass\":0.2,\"worstTenant\":0.1,\"worstWindow\":0.2},"
            + "\"clients\":{\"marksRetry\":false},\"instances\":2,\"me\":0,\"locality\":\"santiago-1\",\"overShareWorth\":0.2,"
            + "\"familyInfo\":{\"classLive\":[false,false,true],\"classSeats\":[0,2,0],\"classTop\":[4,4,4],\"fleetKb\":" + cells * 12100.0 + ","
            + "\"floorByClass\":[0,0,0],\"fullFrom\":1.0,\"ladderKb\":[290.0,508.0,891.0,1564.0,2743.0],\"levelWorth\":[0.22,0.44,0.64,0.82,1.0],"
            + "\"places\":" + cells + ",\"placesByKind\":[21],\"rateFactor\":[1.0,1.4,1.0],\"seenAfterNs\":680932000,\"sharedAdds\":0.3,"
            + "\"shelves\":" + Math.max(2, cells / 8) + ",\"stall\":8.0,\"switchS\":0.58,\"tellNs\":0,\"uplinkKb\":60000.0,\"weightKb\":3025.0},"
            + "\"limits\":{\"cancelling\":true,\"connIdleNs\":15000000000,\"connectTimeoutNs\":250000000,\"cpuUsPerRequest\":0.0,\"cpuUsPerS\":500000,"
            + "\"maxOpen\":1000000,\"maxRetryAfterNs\":1000000000,\"mostTries\":3,\"peers\":false,\"probes\":true,\"retryAfter\":false,"
            + "\"secondCopies\":false,\"streamsPerConn\":32},\"prices\":{\"lateFail\":0.033,\"moves\":0.11,\"probe\":0.011},\"registryMode\":\"pushed\","
            + "\"rules\":{\"askWithinNs\":10000000000,\"coldNs\":12000000000,\"coldShare\":0.4,\"drainGraceNs\":500000000,\"fallNs\":1500000000,"
            + "\"graceToAnswerNs\":40000000,\"overloadFactor\":2.5},"
            + "\"services\":[" + service("recorded", 1000, 4000, 1) + "," + service("recorded-plus", 1000, 3000, 2) + "," + service("live", 1500, 3000, 1) + "],"
            + "\"shapes\":[\"two-core\"],\"stage\":0,\"stats\":{\"fields\":[\"inflight\",\"x0\"],\"via\":\"on_probe\"},"
            + "\"tenants\":[{\"allowancePerS\":0.0,\"name\":\"banco-austral\",\"share\":0.47},{\"allowancePerS\":0.0,\"name\":\"caja-andina\",\"share\":0.29},"
            + "{\"allowancePerS\":0.0,\"name\":\"coop-del-maule\",\"share\":0.24}],\"tickNs\":10000000,\"tiers\":[\"media-fleet\"],\"weights\":\"rough\","
            + "\"worthBy\":\"work\"" + more + "}";
    }

    private static String service(String name, long aimMs, long giveUpMs, int importance) {
        return "{\"aimNs\":" + aimMs * 1_000_000 + ",\"dedupScope\":\"all\",\"dedupWindowNs\":5000000000,\"effect\":\"repeatable\",\"giveUpNs\":"
            + giveUpMs * 1_000_000 + ",\"importance\":" + importance + ".0,\"lateShare\":0.0,\"name\":\"" + name + "\",\"stream\":true}";
    }

    /** A gateway's configuration; `known` is the whole list, as event 1. */
    Path config(String file, String name, int port, int sockets, int coordinatorPort, String entries, String settings) throws IOException {
        Path path = temporary.resolve(file);
        Path fresh = temporary.resolve(file + ".new");
        Files.writeString(fresh, "{\"name\":\"" + name + "\",\"listen\":\"" + LOCAL + ":" + port + "\",\"seed\":\"8c1f30d27a5be964\","
            + "\"limits\":{\"cores\":1.0,\"memory_mb\":144,\"sockets\":" + sockets + "},\"coordinator\":\"" + LOCAL + ":" + coordinatorPort + "\","
            + "\"known\":{\"index\":1,\"updates\":[" + event(1, true, entries) + "]},\"settings\":" + settings + "}\n");
        return Files.move(fresh, path, java.nio.file.StandardCopyOption.REPLACE_EXISTING, java.nio.file.StandardCopyOption.ATOMIC_MOVE);
    }
}
