import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The coordinator: numbered changes of the list over server-sent events, and a comment each second. */
final class Coordinator {
    /** One line of the list. */
    record Entry(String id, String address, int cell, String state, long startedAtMs) {
        String json() {
            return "{\"instanceId\":\"" + id + "\",\"hostPort\":\"" + address + "\",\"zone\":\"santiago-1\",\"machineType\":\"two-core\",\"cell\":" + cell
                + ",\"lifecycle\":\"" + state + "\",\"weight\":1,\"startedAtMs\":" + startedAtMs + "}";
        }
    }

    private final Lab lab;
    private final ServerSocket server;
    private final List<String> events = new ArrayList<>();
    private final Map<String, Entry> list = new LinkedHashMap<>();
    private final List<Socket> open = new ArrayList<>();
    /** How long a call waits for its answer. */
    volatile long answersAfterMs;

    Coordinator(Lab lab) throws IOException {
        this.lab = lab;
        server = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
        Thread taker = new Thread(this::accept, "coordinator");
        taker.setDaemon(true);
        taker.start();
    }

    String address() {
        return "127.0.0.1:" + server.getLocalPort();
    }

    /** Tells what has changed: it is in the coordinator from now on. */
    synchronized void tell(Entry... entries) {
        StringBuilder text = new StringBuilder();
        for (Entry entry : entries) {
            list.put(entry.id, entry);
            text.append(text.length() == 0 ? "" : ",").append(entry.json());
        }
        boolean whole = events.isEmpty();
        events.add("{\"generation\":" + (events.size() + 1) + ",\"reset\":" + whole + ",\"instances\":[" + text + "]}");
        lab.note("coordinator: event " + events.size() + (entries.length > 4 ? ", " + entries.length + " entries" : " " + text));
        notifyAll();
    }

    /** As a gateway's configuration holds it. */
    synchronized String known() {
        return "{\"index\":" + events.size() + ",\"updates\":[" + String.join(",", events) + "]}";
    }

    /** Ends all streams; calls are taken all the same. */
    void breakOff() throws IOException {
        lab.note("coordinator: breaks off");
        synchronized (open) {
            for (Socket s : open) {
                s.close();
            }
            open.clear();
        }
    }

    private void accept() {
        while (true) {
            try {
                Socket s = server.accept();
                synchronized (open) {
                    open.add(s);
                }
                Thread t = new Thread(() -> serve(s), "stream");
                t.setDaemon(true);
                t.start();
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket s) {
        try (s) {
            BufferedReader in = new BufferedReader(new InputStreamReader(s.getInputStream(), StandardCharsets.UTF_8));
            int last = 0;
            for (String line = in.readLine(); line != null && !line.isEmpty(); line = in.readLine()) {
                if (line.toLowerCase().startsWith("last-event-id:")) {
                    last = Integer.parseInt(line.substring(line.indexOf(':') + 1).strip());
                }
            }
            lab.note("coordinator: called, after event " + last);
            Thread.sleep(answersAfterMs);
            OutputStream out = s.getOutputStream();
            out.write("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n".getBytes(StandardCharsets.UTF_8));
            while (true) {
                StringBuilder text = new StringBuilder();
                synchronized (this) {
                    if (last >= events.size()) {
                        wait(1000);
                    }
                    if (last >= events.size()) {
                        text.append(": still here\n\n");
                    }
                    while (last < events.size()) {
                        last++;
                        text.append("id: ").append(last).append("\ndata: {\"index\":").append(last).append(",\"endpoints\":")
                            .append(events.get(last - 1)).append("}\n\n");
                    }
                }
                out.write(text.toString().getBytes(StandardCharsets.UTF_8));
                out.flush();
            }
        } catch (IOException | InterruptedException e) {
            // The gateway has gone, or it is down.
        }
    }
}
