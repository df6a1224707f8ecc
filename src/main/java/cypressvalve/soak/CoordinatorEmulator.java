package cypressvalve.soak;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;

/** The platform's coordinator on loopback: keeps each stream open with a comment a second and has no changes to tell. */
public final class CoordinatorEmulator implements AutoCloseable {
    private static final int BACKLOG = 50;
    private static final long COMMENT_SECONDS = 1;

    private final ServerSocket listener = new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress());

    public CoordinatorEmulator() throws IOException {
        start(this::accept);
    }

    private static void start(Runnable task) {
        Thread thread = new Thread(task, "coordinator");
        thread.setDaemon(true);
        thread.start();
    }

    /** Where it listens. */
    public InetSocketAddress address() {
        return (InetSocketAddress) listener.getLocalSocketAddress();
    }

    private void accept() {
        while (!listener.isClosed()) {
            try {
                Socket stream = listener.accept();
                start(() -> serve(stream));
            } catch (IOException e) {
                return; // Closed.
            }
        }
    }

    private void serve(Socket stream) {
        try (stream) {
            BufferedReader in = new BufferedReader(new InputStreamReader(stream.getInputStream(), StandardCharsets.ISO_8859_1));
            for (String line = in.readLine(); line != null && !line.isEmpty(); line = in.readLine()) {
                continue; // The head of the request.
            }
            OutputStream out = stream.getOutputStream();
            out.write("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
            while (!listener.isClosed()) {
                out.write(":\n\n".getBytes(StandardCharsets.ISO_8859_1));
                TimeUnit.SECONDS.sleep(COMMENT_SECONDS);
            }
        } catch (IOException e) {
            return; // The gateway has gone.
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @Override
    public void close() throws IOException {
        listener.close();
    }
}
