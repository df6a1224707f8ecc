package cypressvalve.standin;

import java.net.http.HttpClient;
import java.time.Duration;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ThreadFactory;

/** Threads and HTTP that players share: one thread for all that they do, two for their sockets. */
public final class PlayerRoom implements AutoCloseable {
    private final ScheduledExecutorService timers = Executors.newSingleThreadScheduledExecutor(daemon("players"));
    private final ExecutorService callbacks = Executors.newFixedThreadPool(2, daemon("player-http"));
    private final HttpClient http = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).executor(callbacks)
        .connectTimeout(Duration.ofSeconds(1)).followRedirects(HttpClient.Redirect.NEVER).build();

    /** The players' HTTP. */
    public HttpClient http() {
        return http;
    }

    /** The thread on which players live. */
    public ScheduledExecutorService timers() {
        return timers;
    }

    /** Threads that do not keep a process alive. */
    public static ThreadFactory daemon(String name) {
        return task -> {
            Thread thread = new Thread(task, name);
            thread.setDaemon(true);
            return thread;
        };
    }

    @Override
    public void close() {
        timers.shutdownNow();
        callbacks.shutdownNow();
    }
}
