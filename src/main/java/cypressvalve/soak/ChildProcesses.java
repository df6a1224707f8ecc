package cypressvalve.soak;

import java.io.IOException;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** Processes that must not outlive this one. */
final class ChildProcesses {
    private static final Set<Process> STARTED = ConcurrentHashMap.newKeySet();

    static {
        Runtime.getRuntime().addShutdownHook(new Thread(() -> STARTED.forEach(Process::destroyForcibly)));
    }

    private ChildProcesses() {
    }

    /** Starts one. */
    static Process start(ProcessBuilder command) throws IOException {
        Process process = command.start();
        STARTED.add(process);
        process.onExit().thenAccept(STARTED::remove);
        return process;
    }
}
