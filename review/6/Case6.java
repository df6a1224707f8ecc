import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/** Bad clients with hundreds of requests at once, each as long as a message may be, beside usual viewers. */
final class Case6 {
    private static final long FIRST = 0x6000;
    private static final int USUAL = 6;
    private static final int LATER = 10;
    private static final int WAIT_MS = 4_000;
    private static final int BAD_CLIENTS = 24;
    private static final int REQUESTS_EACH = 250;
    /** So that a set-up, and the SETUP that a gateway makes of it, stays under 16 KiB. */
    private static final int LONG_DESCRIPTION = 15_900;
    private static final String FIGURES = "home:0;copies:3;top:4;viewer:00000000b4d65521";

    public static void main(String[] args) {
        Lab.main(args[0], Case6::run);
    }

    private static int run(Lab lab) throws Exception {
        Coordinator coordinator = new Coordinator(lab);
        List<Host> hosts = new ArrayList<>();
        List<Coordinator.Entry> list = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            Host host = new Host(lab, "s-" + i).listen(0);
            hosts.add(host);
            list.add(host.entry(i, "SERVING", 0));
        }
        coordinator.tell(list.toArray(new Coordinator.Entry[0]));
        Config config = new Config();
        config.sockets = 512;
        int port = Lab.freePort();
        Process gateway = lab.gateway("n1", port, config.text(coordinator));
        lab.awaitReady(port);
        Client usual = new Client(lab, "usual viewers", port);
        for (int i = 0; i < USUAL; i++) {
            setUp(usual, FIRST + i);
            Thread.sleep(500);
        }
        long standing = usual.sessions.values().stream().filter(s -> s.answeredAt >= 0 && s.releasedAt < 0).count();
        lab.say(standing + " sessions of usual viewers stand");
        if (standing == 0) {
            return Lab.COULD_NOT_RUN;
        }
        if (lab.trouble) {
            flood(lab, port);
        }
        for (int i = 0; i < LATER && gateway.isAlive() && !usual.closed; i++) {
            setUp(usual, FIRST + USUAL + i);
            Thread.sleep(500);
        }
        Thread.sleep(WAIT_MS);
        boolean crashed = !gateway.isAlive();
        lab.say("set-ups that media hosts have read: " + hosts.stream().mapToInt(host -> host.setUpTimes.size()).sum() + "; the gateway "
            + (crashed ? "has ended by itself, exit code " + gateway.exitValue() + ", with " + standing + " sessions of usual viewers" : "runs"));
        return crashed ? Lab.BROKEN : Lab.HELD;
    }

    private static void setUp(Client client, long id) throws IOException {
        try {
            client.setUp(id, Config.RECORDED, Config.TENANT, "t" + id, WAIT_MS, FIGURES, Client.description(id));
        } catch (IOException e) {
            client.note("can't send: " + e.getMessage());
        }
    }

    /** All send at full speed, and read whatever they are sent. */
    private static void flood(Lab lab, int port) throws Exception {
        List<byte[]> messages = new ArrayList<>();
        for (int i = 1; i <= BAD_CLIENTS; i++) {
            ByteArrayOutputStream all = new ByteArrayOutputStream();
            for (long id = i * 0x100000L; id < i * 0x100000L + REQUESTS_EACH; id++) {
                all.write(Client.message(Client.SET_UP, id, Client.setUpParameters(Config.RECORDED, Config.TENANT, "t" + id % 50, WAIT_MS, FIGURES,
                    Client.description(id, LONG_DESCRIPTION))));
            }
            messages.add(all.toByteArray());
        }
        lab.say(BAD_CLIENTS + " bad clients send " + REQUESTS_EACH + " requests each, "
            + messages.stream().mapToLong(all -> all.length).sum() / 1_000_000 + " MB in all");
        List<Thread> senders = new ArrayList<>();
        for (int i = 1; i <= BAD_CLIENTS; i++) {
            byte[] all = messages.get(i - 1);
            Client bad = new Client(lab, "bad client " + i, port);
            Thread sender = new Thread(() -> {
                try {
                    bad.sendAll(all);
                    bad.note("has sent all its requests");
                } catch (IOException e) {
                    bad.note("has sent a part: " + e.getMessage());
                }
            });
            sender.setDaemon(true);
            sender.start();
            senders.add(sender);
        }
        for (Thread sender : senders) {
            sender.join(20_000);
        }
    }
}
