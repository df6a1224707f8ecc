package cypressvalve.soak;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;

/** A real gateway process ({@code serve}) of this build, with its log and the signals that the platform sends it. */
public final class GatewayProcess implements AutoCloseable {
    private static final Pattern LISTENS = Pattern.compile("listens on /?([0-9.]+):([0-9]+)");
    private static final Pattern HOST = Pattern.compile("host=[0-9a-f]+");
    /** Events of connections to media hosts, in all of which the host is named. */
    private static final Pattern CONNECTION_EVENT = Pattern.compile(" HOST_(CONNECTING|CONNECTED|CLOSING|CLOSED|UNREADABLE|TESTED|LOST) ");
    private static final long START_SECONDS = 30;
    private static final List<String> JVM_OPTIONS = List.of("-Xmx96m", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1",
        "-Djava.net.preferIPv4Stack=true");
    private static final String LOGS_EVENTS = "-Dcypressvalve.events=true";
    /** The period in which a process gets its part of a core. */
    private static final long CORE_PERIOD_MILLIS = 100;
    private static final String PEAK_MEMORY = "VmHWM:";

    private final String name;
    private final EventRecord record;
    private final Process process;
    private final SignalSender signals;
    private final List<String> log = new ArrayList<>();
    private final CountDownLatch listening = new CountDownLatch(1);
    private volatile InetSocketAddress address;

    /** Starts it; returns at once. */
    public GatewayProcess(String name, Path config, EventRecord record) throws IOException {
        this(name, config, record, null);
    }

    /** @param signals sends it its signals; null for one of its own */
    GatewayProcess(String name, Path config, EventRecord record, SignalSender signals) throws IOException {
        this(name, config, record, signals, options(true));
    }

    /** What the JVM of a trial's gateway is started with. */
    static List<String> options(boolean logsEvents) {
        List<String> options = new ArrayList<>(JVM_OPTIONS);
        if (logsEvents) {
            options.add(LOGS_EVENTS);
        }
        return options;
    }

    /** @param jvmOptions what the JVM is started with, but for the class path */
    GatewayProcess(String name, Path config, EventRecord record, SignalSender signals, List<String> jvmOptions) throws IOException {
        this.signals = signals == null ? new SignalSender() : signals;
        this.name = name;
        this.record = record;
        List<String> command = new ArrayList<>(List.of(Path.of(System.getProperty("java.home"), "bin", "java").toString()));
        command.addAll(jvmOptions);
        command.addAll(List.of("-cp", System.getProperty("java.class.path"), "cypressvalve.Main", "serve"));
        ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true);
        builder.environment().put("NODE_CONFIG", config.toString());
        process = ChildProcesses.start(builder);
        Thread reader = new Thread(this::readLog, "log of " + name);
        reader.setDaemon(true);
        reader.start();
        process.onExit().thenAccept(p -> record.add(Event.Kind.PROCESS_ENDED, name, "", String.valueOf(p.exitValue())));
    }

    private void readLog() {
        try (BufferedReader in = new BufferedReader(new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8))) {
            for (String line = in.readLine(); line != null; line = in.readLine()) {
                add(line);
                Matcher matcher = address == null ? LISTENS.matcher(line) : null;
                if (matcher != null && matcher.find()) {
                    address = new InetSocketAddress(matcher.group(1), Integer.parseInt(matcher.group(2)));
                    listening.countDown();
                }
            }
        } catch (IOException e) {
            add("the log broke off: " + e);
        }
    }

    private synchronized void add(String line) {
        log.add(line);
    }

    /** Waits until it listens; where it does not in time, throws with its log. */
    public InetSocketAddress address() throws InterruptedException {
        if (!listening.await(START_SECONDS, TimeUnit.SECONDS)) {
            throw new IllegalStateException("the gateway does not listen: " + log);
        }
        return address;
    }

    /** SIGTERM: the platform tells it to shut down. */
    public void terminate() {
        record.add(Event.Kind.SIGNAL, name, "", "TERM");
        process.toHandle().destroy(); // Process.destroy would close its log as well.
    }

    /** SIGKILL. */
    public void kill() {
        record.add(Event.Kind.SIGNAL, name, "", "KILL");
        process.toHandle().destroyForcibly();
    }

    /** Stands still (SIGSTOP) until {@link #resume}. */
    public void suspend() throws IOException {
        signal("STOP");
    }

    /** Goes on after {@link #suspend} (SIGCONT). */
    public void resume() throws IOException {
        signal("CONT");
    }

    /** Reads its configuration anew (SIGHUP). */
    public void reload() throws IOException {
        signal("HUP");
    }

    /**
     * Runs for its part of each period and stands still for the rest, again and again.
     *
     * @param percent hundredths of a core
     * @param lengthMillis for how long; interrupted before, it goes on
     */
    void limitCore(int percent, long lengthMillis) throws IOException, InterruptedException {
        long runsMillis = CORE_PERIOD_MILLIS * percent / 100;
        long begun = System.nanoTime();
        try {
            while (TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - begun) < lengthMillis) {
                suspend();
                TimeUnit.MILLISECONDS.sleep(CORE_PERIOD_MILLIS - runsMillis);
                resume();
                TimeUnit.MILLISECONDS.sleep(runsMillis);
            }
        } finally {
            resume();
        }
    }

    private void signal(String signal) throws IOException {
        record.add(Event.Kind.SIGNAL, name, "", signal);
        if (process.isAlive()) {
            signals.send(signal, process.pid());
        }
    }

    long processId() {
        return process.pid();
    }

    /** Descriptors that it holds now; 0 where it has ended. */
    long descriptors() {
        String[] held = Path.of("/proc", String.valueOf(process.pid()), "fd").toFile().list();
        return held == null ? 0 : held.length;
    }

    /** The most memory that it held so far, in kilobytes; 0 where it has ended. */
    long peakMemoryKilobytes() {
        try {
            return Files.readAllLines(Path.of("/proc", String.valueOf(process.pid()), "status")).stream()
                .filter(line -> line.startsWith(PEAK_MEMORY)).mapToLong(line -> Long.parseLong(line.replaceAll("[^0-9]", ""))).findFirst().orElse(0);
        } catch (IOException e) {
            return 0; // It has ended meanwhile.
        }
    }

    /** Its name in the record. */
    public String name() {
        return name;
    }

    public boolean alive() {
        return process.isAlive();
    }

    /** What it has logged so far. */
    public synchronized List<String> log() {
        return List.copyOf(log);
    }

    /** What it has logged of a request. */
    public synchronized List<String> log(String request) {
        return log.stream().filter(line -> line.contains(request)).toList();
    }

    /** The same, and what became of its connections to the media hosts that it went to. */
    synchronized List<String> logWithConnections(String request) {
        Set<String> hosts = log(request).stream().map(HOST::matcher).filter(Matcher::find).map(Matcher::group).collect(Collectors.toSet());
        return log.stream().filter(line -> line.contains(request) || CONNECTION_EVENT.matcher(line).find() && hosts.stream().anyMatch(line::contains))
            .toList();
    }

    @Override
    public void close() throws InterruptedException {
        process.toHandle().destroyForcibly();
        process.waitFor();
    }
}
