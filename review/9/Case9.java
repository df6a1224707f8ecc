import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/** A new media host is started at the address of one that vanished: set-ups for the old one push the new one over while it is cold. */
final class Case9 {
    private static final long FIRST = 0x9000;
    private static final int REQUESTS = 24;
    private static final long REPLACED_MS = 3_000;
    /** santiago-main: add_s at most, from the start of the new one. */
    private static final long NEW_TOLD_MS = 2_400;
    /** What it may take in the time that the settings name were it warm already: the most that its warmth allows. */
    private static final double ALLOWED = Config.OVERLOAD * Config.PLACES * Config.FALL_MS / Config.COLD_MS;
    /** STANDING.md: N under 30: N + 3 x root of N + 3. */
    private static final double FALLS_OVER = ALLOWED + 3 * Math.sqrt(ALLOWED + 3);

    /** Falls over when it takes more than that while it is cold, and stays down. */
    private static final class Cold extends Host {
        private volatile boolean fallen;

        private Cold(Lab lab, String name) {
            super(lab, name);
        }

        @Override
        void setUp(Connection connection, Message m) {
            super.setUp(connection, m);
            synchronized (this) {
                if (!fallen && mostSetUpsWithin(Config.FALL_MS) > FALLS_OVER) {
                    fallen = true;
                    lab.note(name + " falls over: " + mostSetUpsWithin(Config.FALL_MS) + " set-ups in " + Config.FALL_MS + " ms, more than "
                        + FALLS_OVER);
                    try {
                        die();
                    } catch (IOException e) {
                        lab.note(e.toString());
                    }
                }
            }
        }
    }

    public static void main(String[] args) {
        Lab.main(args[0], Case9::run);
    }

    private static int run(Lab lab) throws Exception {
        Coordinator coordinator = new Coordinator(lab);
        List<Host> hosts = new ArrayList<>();
        List<Coordinator.Entry> list = new ArrayList<>();
        Vanishing old = new Vanishing(lab, "s-0");
        hosts.add(old);
        hosts.add(new Host(lab, "s-1"));
        hosts.add(new Host(lab, "s-2"));
        for (int i = 0; i < hosts.size(); i++) {
            hosts.get(i).listen(0);
            list.add(hosts.get(i).entry(i, "SERVING", 0));
        }
        coordinator.tell(list.toArray(new Coordinator.Entry[0]));
        int port = Lab.freePort();
        lab.gateway("n1", port, new Config().text(coordinator));
        lab.awaitReady(port);
        Thread.sleep(Config.COLD_MS + 1_000);
        Cold next = new Cold(lab, "s-9");
        if (lab.trouble) {
            old.vanish();
            Thread.sleep(REPLACED_MS);
            old.replacedBy(next);
            long startedAtMs = System.currentTimeMillis();
            Thread.sleep(NEW_TOLD_MS);
            coordinator.tell(next.entry(0, "SERVING", startedAtMs));
            Thread.sleep(500);
        }
        Client viewers = new Client(lab, "viewers", port);
        for (int i = 0; i < REQUESTS; i++) {
            viewers.setUp(FIRST + i, Config.RECORDED, Config.TENANT, "t" + i % 3, 4000, "home:0;copies:1;top:1;viewer:" + Client.hex(FIRST + i),
                Client.description(FIRST + i));
            Thread.sleep(50);
        }
        Thread.sleep(5_000);
        long answered = viewers.sessions.values().stream().filter(s -> s.answeredAt >= 0).count();
        long cut = viewers.sessions.values().stream().filter(s -> s.answeredAt >= 0 && s.releasedAt >= 0).count();
        lab.say("set-ups at the new s-9: " + next.setUpTimes.size() + ", most in " + Config.FALL_MS + " ms: " + next.mostSetUpsWithin(Config.FALL_MS)
            + "; falls over at more than " + FALLS_OVER + ": " + next.fallen + "; answered " + answered + ", of these cut " + cut);
        return next.fallen || !lab.trouble && cut > 0 ? Lab.BROKEN : Lab.HELD;
    }
}
