import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** A sound coordinator: events by number, those after Last-Event-ID at once, and a comment each second. */
final class Coordinator {
    private final Rig rig;
    private final ServerSocket server = new ServerSocket(0, 64, InetAddress.getByName(Rig.LOCAL));
    /** Event 2 and later; event 1 is in the configuration. */
    private final List<String> events = new ArrayList<>();

    Coordinator(Rig rig) throws IOException {
        this.rig = rig;
        thread(this::serve);
    }

    static void thread(Runnable task) {
        Thread thread = new Thread(null, task, "stand-in", 256 * 1024);
        thread.setDaemon(true);
        thread.start();
    }

    int port() {
        return server.getLocalPort();
    }

    /** The number of the next event. */
    long next() {
        synchronized (events) {
            return events.size() + 2;
        }
    }

    void tell(String event) {
        synchronized (events) {
            events.add(event);
            rig.note("coordinator", "event " + (events.size() + 1) + ": " + event);
            events.notifyAll();
        }
    }

    private void serve() {
        while (true) {
            try {
                Socket socket = server.accept();
                thread(() -> serve(socket));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            BufferedReader in = new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.UTF_8));
            long last = 1;
            for (String line = in.readLine(); line != null && !line.isEmpty(); line = in.readLine()) {
                if (line.toLowerCase().startsWith("last-event-id:")) {
                    last = Long.parseLong(line.substring(14).strip());
                }
            }
            OutputStream out = socket.getOutputStream();
            out.write("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n: here\n\n".getBytes(StandardCharsets.UTF_8));
            out.flush();
            while (true) {
                StringBuilder text = new StringBuilder();
                synchronized (events) {
                    if (events.size() + 1 <= last) {
                        events.wait(1000);
                    }
                    for (; last < events.size() + 1; last++) {
                        text.append("id: ").append(last + 1).append("\ndata: ").append(events.get((int) last - 1)).append("\n\n");
                    }
                }
                out.write((text.length() == 0 ? ": still here\n\n" : text.toString()).getBytes(StandardCharsets.UTF_8));
                out.flush();
            }
        } catch (IOException | InterruptedException e) {
            // The gateway has gone.
        }
    }
}
