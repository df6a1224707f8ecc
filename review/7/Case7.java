import java.util.ArrayList;
import java.util.List;

/** A media host vanishes, and a new one is started at its address: the sessions of the old one are never told to be over. */
final class Case7 {
    private static final long FIRST = 0x7000;
    /** The protocol's page: within 8 s of its end, and 50 ms for sockets. */
    private static final long OWED_MS = 8_000 + Config.SLACK_MS;
    private static final long REPLACED_MS = 3_000;
    /** santiago-main: add_s at most, from the start of the new one. */
    private static final long NEW_TOLD_MS = 2_400;
    /** santiago-main: silent_notice_s at most, from when the old one vanished. */
    private static final long OLD_TOLD_MS = 13_000;

    public static void main(String[] args) {
        Lab.main(args[0], Case7::run);
    }

    private static int run(Lab lab) throws Exception {
        Coordinator coordinator = new Coordinator(lab);
        Vanishing old = new Vanishing(lab, "s-0");
        List<Host> hosts = new ArrayList<>(List.of(old, new Host(lab, "s-1"), new Host(lab, "s-2")));
        List<Coordinator.Entry> list = new ArrayList<>();
        for (int i = 0; i < hosts.size(); i++) {
            list.add(hosts.get(i).listen(0).entry(i, "SERVING", 0));
        }
        coordinator.tell(list.toArray(new Coordinator.Entry[0]));
        int port = Lab.freePort();
        lab.gateway("n1", port, new Config().text(coordinator));
        lab.awaitReady(port);
        Client viewers = new Client(lab, "viewers", port);
        for (int i = 2; i >= 0; i--) {
            viewers.setUp(FIRST + i, Config.RECORDED, Config.TENANT, "t" + i, 4000, "home:" + i + ";copies:1;top:4;viewer:00000000b4d65521",
                Client.description(FIRST + i));
            Thread.sleep(100);
        }
        Thread.sleep(1_000);
        Client.Seen session = viewers.sessions.get(FIRST);
        if (session.answeredAt < 0 || session.releasedAt >= 0) {
            lab.say("no session stands at s-0");
            return Lab.COULD_NOT_RUN;
        }
        long ended = lab.now();
        if (lab.trouble) {
            old.vanish();
            lab.until(ended + REPLACED_MS);
            Host next = new Host(lab, "s-9");
            old.replacedBy(next);
            long startedAtMs = System.currentTimeMillis();
            lab.until(ended + REPLACED_MS + NEW_TOLD_MS);
            coordinator.tell(next.entry(0, "SERVING", startedAtMs));
        }
        lab.until(ended + OLD_TOLD_MS);
        if (lab.trouble) {
            coordinator.tell(old.entry(0, "DELETED", 0));
        }
        lab.until(ended + OLD_TOLD_MS + 4_000);
        long took = session.releasedAt < 0 ? -1 : session.releasedAt - ended;
        boolean others = viewers.sessions.entrySet().stream().anyMatch(e -> e.getKey() != FIRST && e.getValue().releasedAt >= 0);
        lab.say(lab.trouble ? "the session of s-0 was released " + (took < 0 ? "never" : took + " ms") + " after its end; owed within " + OWED_MS
            : "released without an end: " + (took >= 0) + ", others " + others);
        boolean late = lab.trouble ? took < 0 || took > OWED_MS : took >= 0;
        return late || others ? Lab.BROKEN : Lab.HELD;
    }
}
