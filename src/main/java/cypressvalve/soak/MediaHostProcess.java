package cypressvalve.soak;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** A {@link LoopMediaHost} process: stopped, continued and killed by signals; what it tells goes into the record. */
final class MediaHostProcess implements AutoCloseable {
    /** Kind of a line that is only read beside a broken rule. */
    static final String NOTE = "NOTE";
    private static final int FIELDS = 4;
    static final String DIED = "its process died";
    private static final Set<Event.Kind> ENDS = Set.of(Event.Kind.SESSION_RELEASED, Event.Kind.SESSION_OVER, Event.Kind.SESSION_ENDED_BY_GATEWAY);

    private final String name;
    private final EventRecord record;
    private final SignalSender signals;
    private final long meanSessionMillis;
    private final HostHabits habits;
    private long seed;
    private Process process;
    private InetSocketAddress address;
    private Thread reader;
    /** The process that takes the place of one that dies; null where none stands by. */
    private Process successor;
    private final Set<String> standing = new HashSet<>();
    private final List<String> notes = new ArrayList<>();
    private boolean stopped;

    /**
     * Starts it; returns once it listens.
     *
     * @param meanSessionMillis how long its sessions stand in the mean
     * @param habits how it takes connections
     */
    MediaHostProcess(String name, long meanSessionMillis, long seed, HostHabits habits, EventRecord record, SignalSender signals)
        throws IOException {
        this.name = name;
        this.meanSessionMillis = meanSessionMillis;
        this.seed = seed;
        this.habits = habits;
        this.record = record;
        this.signals = signals;
        follow(started(0));
    }

    private Process started(int port) throws IOException {
        List<String> command = new ArrayList<>(List.of(Path.of(System.getProperty("java.home"), "bin", "java").toString(), "-Xmx24m",
            "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-Djava.net.preferIPv4Stack=true", "-cp", System.getProperty("java.class.path"),
            LoopMediaHost.class.getName(), name, String.valueOf(meanSessionMillis), String.valueOf(seed++), String.valueOf(port)));
        command.addAll(List.of(habits.arguments()));
        return ChildProcesses.start(new ProcessBuilder(command).redirectErrorStream(true));
    }

    /** Returns once it listens. */
    private void follow(Process started) throws IOException {
        process = started;
        BufferedReader in = new BufferedReader(new InputStreamReader(started.getInputStream(), StandardCharsets.UTF_8));
        String first = in.readLine();
        if (LoopMediaHost.STANDS_BY.equals(first)) {
            first = in.readLine();
        }
        if (first == null || !first.startsWith(LoopMediaHost.LISTENS)) {
            started.destroyForcibly();
            throw new IOException("the media host does not listen: " + first);
        }
        address = new InetSocketAddress(InetAddress.getLoopbackAddress(), Integer.parseInt(first.substring(LoopMediaHost.LISTENS.length())));
        reader = new Thread(() -> read(in), "story of " + name);
        reader.setDaemon(true);
        reader.start();
    }

    /** Starts the process that is to take the place of the one that runs: it does not listen yet. */
    void prepareSuccessor() throws IOException {
        successor = started(address.getPort());
    }

    /** The process that stands by listens at the address of the one that has died; it knows nothing of its sessions. */
    void startSuccessor() throws IOException {
        Process next = successor;
        successor = null;
        next.getOutputStream().write('\n');
        next.getOutputStream().flush();
        follow(next);
    }

    private void read(BufferedReader in) {
        try {
            for (String line = in.readLine(); line != null; line = in.readLine()) {
                take(line);
            }
        } catch (IOException e) {
            return; // It has ended.
        }
    }

    private synchronized void take(String line) {
        String[] fields = line.split(" ", FIELDS);
        long at = record.atNanos(Long.parseLong(fields[0]));
        if (fields[1].equals(NOTE)) {
            notes.add(at + " " + fields[2] + " " + fields[3]);
            return;
        }
        Event.Kind kind = Event.Kind.valueOf(fields[1]);
        if (kind == Event.Kind.ATTEMPT_SERVED) {
            standing.add(fields[2]);
        } else if (ENDS.contains(kind)) {
            standing.remove(fields[2]);
        }
        record.add(at, kind, name, fields[2], fields[3]);
    }

    String name() {
        return name;
    }

    /** Where it listens. */
    InetSocketAddress address() {
        return address;
    }

    /** Stands still until it is resumed: its system takes connections and what comes, its process does nothing. */
    synchronized void suspend() throws IOException {
        stopped = true;
        signals.send("STOP", process.pid());
    }

    /** Goes on. */
    synchronized void resume() throws IOException {
        stopped = false;
        signals.send("CONT", process.pid());
    }

    synchronized boolean isRunning() {
        return process.isAlive() && !stopped;
    }

    /** Its process dies: what stands is over, and nobody says so. */
    void kill() throws InterruptedException {
        process.destroyForcibly();
        process.waitFor();
        reader.join();
        synchronized (this) {
            standing.forEach(session -> record.add(Event.Kind.SESSION_OVER, name, session, DIED));
            standing.clear();
        }
    }

    /** What it has noted of a session, and of the connections that were closed. */
    synchronized List<String> notes(String session) {
        return notes.stream().filter(note -> note.contains(session) || note.contains(" - ")).toList();
    }

    @Override
    public void close() throws InterruptedException {
        process.destroyForcibly();
        process.waitFor();
        if (successor != null) {
            successor.destroyForcibly();
        }
    }
}
