import java.util.ArrayList;
import java.util.List;

/** One of five media hosts vanishes while a gateway holds sessions at more media hosts than it may hold connections to. */
final class Case8 {
    private static final int HOSTS = 140;
    private static final int VANISHED_ONE_OF = 5;
    private static final long FIRST = 0x6000;
    /** The protocol's page: within 8 s of its end, and 50 ms for sockets. */
    private static final long OWED_MS = 8_000 + Config.SLACK_MS;
    /** santiago-main: silent_notice_s at most. */
    private static final long TOLD_MS = 13_000;

    public static void main(String[] args) {
        Lab.main(args[0], Case8::run);
    }

    private static int run(Lab lab) throws Exception {
        Coordinator coordinator = new Coordinator(lab);
        List<Host> hosts = new ArrayList<>();
        List<Coordinator.Entry> list = new ArrayList<>();
        for (int i = 0; i < HOSTS; i++) {
            Host host = new Host(lab, "s-" + i).listen(0);
            hosts.add(host);
            list.add(host.entry(i, "SERVING", 0));
        }
        coordinator.tell(list.toArray(new Coordinator.Entry[0]));
        Config config = new Config();
        config.cells = HOSTS;
        config.gateways = 100;
        int port = Lab.freePort();
        lab.gateway("n1", port, config.text(coordinator));
        lab.awaitReady(port);
        Thread.sleep(Config.COLD_MS + 1_000);
        Client viewers = new Client(lab, "viewers", port);
        for (int i = 0; i < HOSTS; i++) {
            viewers.setUp(FIRST + i, Config.RECORDED, Config.TENANT, "t" + i, 4000, "home:" + i + ";copies:1;top:4;viewer:00000000b4d65521",
                Client.description(FIRST + i));
            Thread.sleep(60);
        }
        Thread.sleep(8_000);
        long standing = viewers.sessions.values().stream().filter(s -> s.answeredAt >= 0 && s.releasedAt < 0).count();
        lab.say(standing + " sessions stand");
        if (standing < HOSTS * 9 / 10) {
            return Lab.COULD_NOT_RUN;
        }
        long began = lab.now();
        long[] ended = new long[HOSTS];
        for (int i = 0; i < HOSTS; i += VANISHED_ONE_OF) {
            if (lab.trouble) {
                hosts.get(i).cutOff();
            }
            ended[i] = lab.now();
        }
        lab.until(began + TOLD_MS);
        int vanished = 0;
        int late = 0;
        List<Coordinator.Entry> gone = new ArrayList<>();
        for (int i = 0; lab.trouble && i < HOSTS; i += VANISHED_ONE_OF) {
            Client.Seen session = viewers.sessions.get(FIRST + i);
            if (session.answeredAt < 0) {
                continue;
            }
            vanished++;
            gone.add(hosts.get(i).entry(i, "DELETED", 0));
            long took = session.releasedAt - ended[i];
            if (session.releasedAt < 0 || took > OWED_MS) {
                late++;
                lab.note("LATE: session " + Client.hex(FIRST + i) + " of s-" + i + " is "
                    + (session.releasedAt < 0 ? "not released " + (lab.now() - ended[i]) : "released " + took) + " ms after its end");
            }
        }
        if (lab.trouble) {
            coordinator.tell(gone.toArray(new Coordinator.Entry[0]));
            Thread.sleep(4_000);
        }
        long cut = viewers.sessions.entrySet().stream().filter(e -> e.getValue().releasedAt >= 0
            && (!lab.trouble || (e.getKey() - FIRST) % VANISHED_ONE_OF != 0)).count();
        lab.say("sessions at vanished hosts: " + vanished + ", not released within " + OWED_MS + " ms: " + late
            + "; released of hosts that live: " + cut);
        return late > 0 || cut > 0 ? Lab.BROKEN : Lab.HELD;
    }
}
