import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.File;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;

/**
 * Stand-ins of a small deployment on loopback: coordinator, media hosts, viewers, and the gateway as the deploy file
 * starts it. Written from the protocol's pages; they do what the pages say and nothing else unless a case tells them.
 */
final class Rig implements AutoCloseable {
    static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));
    private final long begun = System.nanoTime();
    private final PrintWriter record;
    final Path temp;
    private final List<AutoCloseable> all = new CopyOnWriteArrayList<>();

    Rig(String recordFile) throws IOException {
        record = new PrintWriter(Files.newBufferedWriter(Path.of(recordFile)), true);
        temp = Files.createTempDirectory("case");
        note("trouble %s", TROUBLE ? "on" : "off");
    }

    /** What a case does; returns 1 where the rule was broken, 0 where it held. */
    interface Case {
        int play(Rig rig) throws Exception;
    }

    /** Plays a case and ends this process: 2 where it could not run or takes over 110 s. */
    static void play(String[] args, Case what) {
        int code = 2;
        try (Rig rig = new Rig(args[0])) {
            Runtime.getRuntime().addShutdownHook(new Thread(rig::killGateways));
            daemon("watchdog", () -> {
                sleep(110_000);
                rig.note("the case takes too long");
                rig.killGateways();
                Runtime.getRuntime().halt(2);
            });
            try {
                code = what.play(rig);
            } catch (Exception e) {
                rig.note("the case could not run: %s", e);
                System.out.println("could not run: " + e);
            }
        } catch (IOException e) {
            System.out.println("could not run: " + e);
        }
        System.exit(code);
    }

    private void killGateways() {
        for (AutoCloseable part : all) {
            if (part instanceof Gateway gateway && gateway.process != null) {
                gateway.process.destroyForcibly();
            }
        }
    }

    long millis() {
        return (System.nanoTime() - begun) / 1_000_000;
    }

    synchronized void note(String form, Object... with) {
        record.println(String.format("%7d ms  ", millis()) + String.format(form, with));
    }

    static void sleep(long millis) {
        try {
            Thread.sleep(Math.max(0, millis));
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    private static void daemon(String name, Runnable task) {
        Thread thread = new Thread(null, task, name, 256 * 1024);
        thread.setDaemon(true);
        thread.start();
    }

    private <T extends AutoCloseable> T own(T part) {
        all.add(part);
        return part;
    }

    @Override
    public void close() {
        for (int i = all.size() - 1; i >= 0; i--) {
            try {
                all.get(i).close();
            } catch (Exception e) {
                note("close: %s", e);
            }
        }
        try (var files = Files.walk(temp)) {
            files.sorted(java.util.Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
        } catch (IOException e) {
            note("temporary folder: %s", e);
        }
        record.close();
    }

    // The coordinator.

    /** Tells numbered events of the list to whoever asks, and a comment each second. */
    final class Coordinator implements AutoCloseable {
        private final ServerSocket server;
        private final List<String> events = new ArrayList<>();

        Coordinator() throws IOException {
            server = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
            daemon("coordinator", this::accept);
        }

        String address() {
            return "127.0.0.1:" + server.getLocalPort();
        }

        synchronized int last() {
            return events.size();
        }

        /** One more event; the first holds the whole list. */
        synchronized void tell(String... entries) {
            int index = events.size() + 1;
            events.add("{\"index\":" + index + ",\"endpoints\":{\"generation\":" + index + ",\"reset\":" + (index == 1)
                + ",\"instances\":[" + String.join(",", entries) + "]}}");
            note("coordinator tells event %d: %s", index, String.join(" ", entries).replaceAll("\"", ""));
            notifyAll();
        }

        /** What the configuration of a gateway that starts now holds. */
        synchronized String known() {
            StringBuilder updates = new StringBuilder();
            for (String event : events) {
                int from = event.indexOf("{\"generation\"");
                updates.append(updates.length() > 0 ? "," : "").append(event, from, event.length() - 1);
            }
            return "{\"index\":" + events.size() + ",\"updates\":[" + updates + "]}";
        }

        private void accept() {
            try {
                while (true) {
                    Socket socket = server.accept();
                    daemon("stream", () -> serve(socket));
                }
            } catch (IOException e) {
                // Closed.
            }
        }

        private void serve(Socket socket) {
            try (socket) {
                InputStream in = socket.getInputStream();
                int last = 0;
                for (String line = line(in); line != null && !line.isEmpty(); line = line(in)) {
                    if (line.toLowerCase().startsWith("last-event-id:")) {
                        last = Integer.parseInt(line.substring(14).strip());
                    }
                }
                OutputStream out = socket.getOutputStream();
                out.write("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n".getBytes());
                while (true) {
                    String next = null;
                    synchronized (this) {
                        if (events.size() <= last) {
                            wait(1000);
                        }
                        next = events.size() > last ? "id: " + (last + 1) + "\ndata: " + events.get(last++) + "\n\n" : ": well\n\n";
                    }
                    out.write(next.getBytes());
                    out.flush();
                }
            } catch (IOException | InterruptedException e) {
                // Its gateway has gone.
            }
        }

        @Override
        public void close() throws IOException {
            server.close();
        }
    }

    Coordinator coordinator() throws IOException {
        return own(new Coordinator());
    }

    static String line(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int b = in.read(); b != '\n'; b = in.read()) {
            if (b < 0) {
                return null;
            }
            if (b != '\r') {
                line.write(b);
            }
        }
        return line.toString(StandardCharsets.UTF_8);
    }

    // Media hosts.

    /** One session at a media host. */
    static final class Stand {
        final String id;
        final String title;
        final String plan;
        final Link link;
        final long at;
        volatile boolean over;

        Stand(String id, String title, String plan, Link link, long at) {
            this.id = id;
            this.title = title;
            this.plan = plan;
            this.link = link;
            this.at = at;
        }
    }

    /** One connection from a gateway to a media host. */
    static final class Link {
        final Socket socket;

        Link(Socket socket) {
            this.socket = socket;
        }

        synchronized boolean say(String message) {
            try {
                socket.getOutputStream().write(message.getBytes(StandardCharsets.UTF_8));
                socket.getOutputStream().flush();
                return true;
            } catch (IOException e) {
                return false;
            }
        }
    }

    /** A media host: takes set-ups, holds sessions, says their ends. */
    class Host implements AutoCloseable {
        final String id;
        final int cell;
        final ServerSocket server;
        final Map<String, Stand> sessions = new ConcurrentHashMap<>();
        final List<Link> links = new CopyOnWriteArrayList<>();
        final List<String> unsaid = new CopyOnWriteArrayList<>();
        volatile int setUps;
        volatile int mostHeld;

        Host(String id, int cell) throws IOException {
            this.id = id;
            this.cell = cell;
            server = new ServerSocket(0, 1024, InetAddress.getByName("127.0.0.1"));
            daemon("host " + id, this::accept);
        }

        String address() {
            return "127.0.0.1:" + server.getLocalPort();
        }

        String entry(String state, long startedAtMs) {
            return "{\"instanceId\":\"" + id + "\",\"hostPort\":\"" + address() + "\",\"zone\":\"z\",\"machineType\":\"std\",\"cell\":"
                + cell + ",\"lifecycle\":\"" + state + "\",\"weight\":1,\"startedAtMs\":" + startedAtMs + "}";
        }

        private void accept() {
            try {
                while (true) {
                    Link link = new Link(server.accept());
                    link.socket.setTcpNoDelay(true);
                    links.add(link);
                    daemon("link " + id, () -> serve(link));
                }
            } catch (IOException e) {
                // Closed.
            }
        }

        private void serve(Link link) {
            try {
                List<String> again = new ArrayList<>(unsaid);
                unsaid.removeAll(again);
                again.forEach(link::say);
                InputStream in = new java.io.BufferedInputStream(link.socket.getInputStream(), 1 << 16);
                while (true) {
                    String first = line(in);
                    if (first == null) {
                        break;
                    }
                    Map<String, String> fields = new HashMap<>();
                    for (String line = line(in); line != null && !line.isEmpty(); line = line(in)) {
                        int colon = line.indexOf(':');
                        fields.put(line.substring(0, colon).toLowerCase(), line.substring(colon + 1).strip());
                    }
                    byte[] body = in.readNBytes(Integer.parseInt(fields.getOrDefault("content-length", "0")));
                    take(link, first, fields, body);
                }
            } catch (IOException | RuntimeException e) {
                // Broken.
            }
            links.remove(link);
            close(link);
        }

        void close(Link link) {
            try {
                link.socket.close();
            } catch (IOException e) {
                // Closed already.
            }
        }

        void take(Link link, String first, Map<String, String> fields, byte[] body) {
            String session = fields.get("session");
            String cseq = fields.get("cseq");
            switch (first.split(" ")[0]) {
                case "SETUP" -> {
                    setUps++;
                    String title = first.split(" ")[1].replaceFirst("rtsp://media/", "");
                    setUp(link, session, title, fields, body);
                }
                case "TEARDOWN" -> {
                    Stand stand = sessions.remove(session);
                    if (stand != null) {
                        stand.over = true;
                        note("%s is told the end of %s (%s)", id, session, fields.getOrDefault("reason", "given up"));
                    }
                    link.say(reply(200, "OK", cseq, session, ""));
                }
                case "OPTIONS" -> link.say(reply(200, "OK", cseq, session, "X-Occupancy: " + load() + "\r\n"));
                default -> { }
            }
        }

        /** What its sessions ask of its link, each its own stream at the middle rate: more than is really asked. */
        String load() {
            return String.format(java.util.Locale.ROOT, "inflight:%d;x0:%.3f", sessions.size(), sessions.size() * 200.0 / Settings.LINK_KB);
        }

        void setUp(Link link, String session, String title, Map<String, String> fields, byte[] body) {
            start(link, session, title, fields, body);
        }

        final void start(Link link, String session, String title, Map<String, String> fields, byte[] body) {
            sessions.put(session, new Stand(session, title, fields.get("x-cos"), link, millis()));
            mostHeld = Math.max(mostHeld, sessions.size());
            answer(link, session, describe(session, body));
        }

        /** What it answers: lines of the offer's kind, its own address and the same number of bytes. */
        byte[] describe(String session, byte[] offer) {
            return offer;
        }

        final void answer(Link link, String session, byte[] body) {
            link.say("RTSP/1.0 200 OK\r\nCSeq: 1\r\nSession: " + session + "\r\nContent-Length: " + body.length + "\r\n\r\n"
                + new String(body, StandardCharsets.UTF_8));
        }

        String reply(int status, String reason, String cseq, String session, String more) {
            return "RTSP/1.0 " + status + " " + reason + "\r\nCSeq: " + cseq + "\r\nSession: " + session + "\r\n" + more
                + "Content-Length: 0\r\n\r\n";
        }

        /** Ends a session: says so on the connection of its set-up, else on any, and on the next that is opened. */
        void release(String session, int cause) {
            Stand stand = sessions.remove(session);
            if (stand == null) {
                return;
            }
            stand.over = true;
            String message = "TEARDOWN rtsp://media/session RTSP/1.0\r\nCSeq: 2\r\nSession: " + session + "\r\nReason: cause="
                + cause + "\r\nContent-Length: 0\r\n\r\n";
            boolean said = links.contains(stand.link) && stand.link.say(message);
            for (Link link : links) {
                said = said || link.say(message);
            }
            unsaid.add(message);
            note("%s releases %s with cause %d, %s", id, session, cause, said ? "on an open connection" : "none is open");
        }

        /** Its process is killed: its connections are reset and its sessions cut. */
        void die() throws IOException {
            server.close();
            for (Link link : links) {
                link.socket.setSoLinger(true, 0);
                close(link);
            }
            sessions.values().forEach(stand -> stand.over = true);
            note("%s dies with %d sessions", id, sessions.size());
        }

        @Override
        public void close() throws IOException {
            server.close();
            links.forEach(this::close);
        }
    }

    Host host(String id, int cell) throws IOException {
        return own(new Host(id, cell));
    }

    <T extends AutoCloseable> T with(T part) {
        return own(part);
    }

    // Viewers.

    /** What a viewers' connection has read: one message. */
    record Said(int type, long session, int cause, byte[] description, long at) { }

    /** One connection of viewers. */
    final class Viewers implements AutoCloseable {
        final String name;
        final Socket socket;
        final List<Said> said = new CopyOnWriteArrayList<>();
        private final Map<Long, List<Said>> bySession = new ConcurrentHashMap<>();
        volatile boolean ended;
        volatile long endedAt;
        private final boolean noting;

        Viewers(String name, int port, boolean noting) throws IOException {
            this.name = name;
            this.noting = noting;
            socket = new Socket(InetAddress.getByName("127.0.0.1"), port);
            socket.setTcpNoDelay(true);
            daemon(name, this::read);
        }

        private void read() {
            try {
                DataInputStream in = new DataInputStream(new java.io.BufferedInputStream(socket.getInputStream()));
                while (true) {
                    byte[] body = new byte[in.readUnsignedShort()];
                    in.readFully(body);
                    DataInputStream message = new DataInputStream(new java.io.ByteArrayInputStream(body));
                    int type = message.readUnsignedByte();
                    long session = message.readLong();
                    int cause = -1;
                    byte[] description = null;
                    while (message.available() > 0) {
                        int code = message.readUnsignedByte();
                        byte[] value = message.readNBytes(message.readUnsignedShort());
                        cause = code == 171 ? value[0] & 0xff : cause;
                        description = code == 174 ? value : description;
                    }
                    Said one = new Said(type, session, cause, description, millis());
                    bySession.computeIfAbsent(session, s -> new CopyOnWriteArrayList<>()).add(one);
                    if (noting) {
                        note("%s reads %s of %016x%s", name, kind(type), session, cause < 0 ? "" : " cause " + cause);
                    }
                    if (type == 12) {
                        say(message(16, session));
                    }
                }
            } catch (IOException e) {
                // Ended.
            }
            endedAt = millis();
            ended = true;
            if (noting) {
                note("%s: the gateway has ended the connection", name);
            }
            try {
                socket.close();
            } catch (IOException e) {
                // Closed.
            }
        }

        boolean say(byte[] bytes) {
            try {
                synchronized (socket) {
                    socket.getOutputStream().write(bytes);
                    socket.getOutputStream().flush();
                }
                return true;
            } catch (IOException e) {
                return false;
            }
        }

        List<Said> of(long session) {
            return bySession.getOrDefault(session, List.of());
        }

        /** The first message of that type on that session, waited for; null if none comes. */
        Said await(long session, int type, long millis) {
            long until = millis() + millis;
            while (true) {
                for (Said one : of(session)) {
                    if (type < 0 || one.type == type) {
                        return one;
                    }
                }
                if (millis() >= until || ended) {
                    return null;
                }
                sleep(2);
            }
        }

        /** The answer: 9 or 12. */
        Said answer(long session, long millis) {
            long until = millis() + millis;
            while (millis() < until) {
                for (Said one : of(session)) {
                    if (one.type == 9 || one.type == 12) {
                        return one;
                    }
                }
                sleep(2);
            }
            return null;
        }

        void leave() {
            try {
                socket.close();
            } catch (IOException e) {
                // Closed.
            }
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }

    Viewers viewers(String name, int port) throws IOException {
        return own(new Viewers(name, port, true));
    }

    Viewers quietViewers(String name, int port) throws IOException {
        return own(new Viewers(name, port, false));
    }

    private static String kind(int type) {
        return switch (type) {
            case 9 -> "the answer";
            case 12 -> "a release";
            case 16 -> "release heard";
            case 51 -> "a move";
            case 53 -> "test passed or failed";
            default -> "type " + type;
        };
    }

    static byte[] parameter(int code, byte[] value) {
        byte[] all = new byte[3 + value.length];
        all[0] = (byte) code;
        all[1] = (byte) (value.length >> 8);
        all[2] = (byte) value.length;
        System.arraycopy(value, 0, all, 3, value.length);
        return all;
    }

    static byte[] parameter(int code, String value) {
        return parameter(code, value.getBytes(StandardCharsets.UTF_8));
    }

    static byte[] message(int type, long session, byte[]... parameters) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        int length = 9;
        for (byte[] parameter : parameters) {
            length += parameter.length;
        }
        out.write(length >> 8);
        out.write(length);
        out.write(type);
        for (int shift = 56; shift >= 0; shift -= 8) {
            out.write((int) (session >> shift));
        }
        for (byte[] parameter : parameters) {
            out.writeBytes(parameter);
        }
        return out.toByteArray();
    }

    static byte[] release(long session, int cause) {
        return message(12, session, parameter(171, new byte[] {(byte) cause}));
    }

    static byte[] test(long session) {
        return message(52, session, parameter(171, new byte[] {0}));
    }

    /** A description as the protocol's page has it, filled with attributes up to that many bytes. */
    static byte[] description(long session, int bytes) {
        StringBuilder text = new StringBuilder(String.format("%016x\r\nc=IN IP4 127.0.0.1\r\nm=audio 31000 RTP/AVP 0 8 101\r\n", ~session));
        for (int i = 0; text.length() + 40 < bytes; i++) {
            text.append(String.format("a=candidate:%024d\r\n", i));
        }
        return text.toString().getBytes(StandardCharsets.UTF_8);
    }

    static byte[] setUp(long session, String plan, String title, int waitMs, String figures, byte[] description) {
        return message(1, session, parameter(129, plan), parameter(132, Integer.toString(waitMs)), parameter(135, "t"),
            parameter(141, title), parameter(144, figures), parameter(174, description));
    }

    // The gateway.

    static String env(String name, String otherwise) {
        String value = System.getenv(name);
        return value == null ? otherwise : value;
    }

    /** A gateway as the deploy file's run starts it. */
    final class Gateway implements AutoCloseable {
        final String name;
        final int port;
        final Path config;
        final Path log;
        Process process;

        Gateway(String name) throws IOException {
            this.name = name;
            try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
                port = free.getLocalPort();
            }
            config = temp.resolve(name + ".json");
            log = temp.resolve(name + ".log");
        }

        void configure(Settings settings, int me, Coordinator coordinator) throws IOException {
            Files.writeString(config, settings.text(name, "127.0.0.1:" + port, me, coordinator));
        }

        void start() throws IOException {
            Path root = Path.of("").toAbsolutePath();
            String run = Files.readAllLines(root.resolve("deploy/balancer.toml")).stream().filter(line -> line.startsWith("run = "))
                .findFirst().orElseThrow().replaceFirst("run = \"([^\"]*)\".*", "$1");
            Path tmp = Files.createDirectories(temp.resolve(name + ".tmp"));
            ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", run).directory(root.toFile())
                .redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
            builder.environment().put("NODE_NAME", name);
            builder.environment().put("NODE_LISTEN", "127.0.0.1:" + port);
            builder.environment().put("NODE_CONFIG", config.toString());
            builder.environment().put("TMPDIR", tmp.toString());
            process = builder.start();
            note("gateway %s started as process %d", name, process.pid());
        }

        /** Waits until a test is passed, 30 s at most. */
        boolean ready() throws IOException {
            long until = millis() + 30_000;
            while (millis() < until && process.isAlive()) {
                try (Viewers front = new Viewers("front", port, false)) {
                    front.say(test(77));
                    Said said = front.await(77, 53, 500);
                    if (said != null && said.cause == 1) {
                        note("gateway %s is ready", name);
                        return true;
                    }
                } catch (IOException e) {
                    // It does not listen yet.
                }
                sleep(50);
            }
            return false;
        }

        void signal(String what) throws IOException {
            note("gateway %s gets %s", name, what);
            try {
                new ProcessBuilder("kill", "-" + what, Long.toString(process.pid())).start().waitFor();
            } catch (InterruptedException e) {
                throw new IllegalStateException(e);
            }
        }

        long residentKb() {
            try {
                return Files.readAllLines(Path.of("/proc/" + process.pid() + "/status")).stream().filter(line -> line.startsWith("VmRSS"))
                    .mapToLong(line -> Long.parseLong(line.replaceAll("[^0-9]", ""))).findFirst().orElse(0);
            } catch (IOException e) {
                return 0;
            }
        }

        @Override
        public void close() throws IOException {
            if (process != null) {
                process.destroyForcibly();
                try {
                    process.waitFor(5, TimeUnit.SECONDS);
                } catch (InterruptedException e) {
                    throw new IllegalStateException(e);
                }
                List<String> lines = Files.readAllLines(log);
                note("the end of the log of %s:", name);
                lines.stream().skip(Math.max(0, lines.size() - 12)).forEach(line -> note("  %s", line.replaceFirst("^\\S+Z ", "")));
            }
        }
    }

    Gateway gateway(String name) throws IOException {
        return own(new Gateway(name));
    }

    /** Settings of a small deployment. */
    static final class Settings {
        static final int LINK_KB = 20_000;
        int gateways = 1;
        int memoryMb = 128;
        int sockets = 512;
        int cells = 3;
        int places = 40;
        boolean probes = true;
        String seats = "0, 0";
        String floors = "0, 0";
        String live = "false, false";
        String effect = "repeatable";
        int aimMs = 1000;
        int giveUpMs = 3000;
        String rules = "\"coldNs\": 8000000000, \"coldShare\": 0.5, \"overloadFactor\": 2.5, \"fallNs\": 1500000000, \"drainGraceNs\": 500000000, \"graceToAnswerNs\": 40000000";

        String text(String name, String listen, int me, Coordinator coordinator) {
            return ("{\"name\": \"" + name + "\", \"listen\": \"" + listen + "\", \"seed\": \"5a17c0de\",\n"
                + " \"limits\": {\"cores\": 1.0, \"memory_mb\": " + memoryMb + ", \"sockets\": " + sockets + "},\n"
                + " \"coordinator\": \"" + coordinator.address() + "\",\n \"known\": " + coordinator.known() + ",\n"
                + " \"settings\": {\"me\": " + me + ", \"instances\": " + gateways + ", \"locality\": \"z\", \"azs\": [\"z\"], \"shapes\": [\"std\"],"
                + " \"family\": \"streams\", \"registryMode\": \"pushed\", \"tickNs\": 10000000,\n"
                + "  \"familyInfo\": {\"places\": " + cells + ", \"shelves\": 1, \"placesByKind\": [" + places + "], \"ladderKb\": [100, 200, 400],"
                + " \"levelWorth\": [0.3, 0.6, 1], \"rateFactor\": [1, 1], \"classLive\": [" + live + "], \"classSeats\": [" + seats + "],"
                + " \"floorByClass\": [" + floors + "], \"sharedAdds\": 0.3, \"fullFrom\": 0, \"fleetKb\": " + LINK_KB * cells
                + ", \"weightKb\": " + LINK_KB + ", \"uplinkKb\": " + LINK_KB * cells + ", \"seenAfterNs\": 500000000, \"tellNs\": 0},\n"
                + "  \"services\": [{\"name\": \"plain\", \"aimNs\": " + aimMs + "000000, \"giveUpNs\": " + giveUpMs
                + "000000, \"effect\": \"" + effect + "\", \"importance\": 1, \"stream\": true},"
                + " {\"name\": \"plus\", \"aimNs\": " + aimMs + "000000, \"giveUpNs\": " + giveUpMs
                + "000000, \"effect\": \"" + effect + "\", \"importance\": 2, \"stream\": true}],\n"
                + "  \"tenants\": [{\"name\": \"t\", \"share\": 1, \"allowancePerS\": 0}],\n"
                + "  \"limits\": {\"probes\": " + probes + ", \"cancelling\": true, \"mostTries\": 3, \"connIdleNs\": 15000000000,"
                + " \"connectTimeoutNs\": 250000000, \"streamsPerConn\": 32, \"secondCopies\": false, \"retryAfter\": false, \"peers\": false},\n"
                + "  \"rules\": {" + rules + "},\n"
                + "  \"stats\": {\"via\": \"" + (probes ? "on_probe" : "inline") + "\", \"fields\": [\"inflight\", \"x0\"]}}}\n");
        }
    }

    static void check(boolean holds, String what) {
        if (!holds) {
            throw new IllegalStateException(what);
        }
    }

    /** Verdict: 1 where the rule was broken, 0 where it held. */
    int verdict(boolean broken, String form, Object... with) {
        note("%s: %s", broken ? "BROKEN" : "held", String.format(form, with));
        System.out.println((broken ? "broken: " : "held: ") + String.format(form, with));
        return broken ? 1 : 0;
    }
}
