import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;

/** A media host is cut off for 6 s, and the list drops it meanwhile: what played there is left standing, and its seat is given away. */
final class Case10 {
    private static final long FIRST = 0xa000;
    private static final int SEATS = 1;
    /** STANDING.md: for 6 s a zone is partitioned, or a fifth of the media hosts fall silent. */
    private static final long CUT_MS = 6_000;
    /** santiago-main: silent_notice_s at least. */
    private static final long DROPPED_MS = 5_300;
    /** santiago-main: add_s at most. */
    private static final long LISTED_AGAIN_MS = CUT_MS + 2_400;
    private static final long ASKED_AGAIN_MS = 18_000;

    public static void main(String[] args) {
        Lab.main(args[0], Case10::run);
    }

    private static int run(Lab lab) throws Exception {
        Coordinator coordinator = new Coordinator(lab);
        List<Host> hosts = new ArrayList<>();
        List<Coordinator.Entry> list = new ArrayList<>();
        for (int i = 0; i < 5; i++) {
            hosts.add(new Host(lab, "s-" + i).listen(0));
            list.add(hosts.get(i).entry(i, "SERVING", 0));
        }
        coordinator.tell(list.toArray(new Coordinator.Entry[0]));
        Config config = new Config();
        config.cells = 5;
        config.plusSeats = SEATS;
        int port = Lab.freePort();
        lab.gateway("n1", port, config.text(coordinator));
        lab.awaitReady(port);
        Thread.sleep(Config.COLD_MS + 1_000);
        Client viewers = new Client(lab, "viewers", port);
        viewers.setUp(FIRST, Config.PLUS, Config.TENANT, "t", 3000, "home:0;copies:3;top:1;viewer:" + Client.hex(FIRST), Client.description(FIRST));
        Thread.sleep(3_000);
        Host cut = hosts.stream().filter(host -> host.sessions.containsKey(Client.hex(FIRST))).findFirst().orElse(null);
        if (cut == null) {
            lab.say("no session stands");
            return Lab.COULD_NOT_RUN;
        }
        int cell = hosts.indexOf(cut);
        long began = lab.now();
        if (lab.trouble) {
            cut.cutOff();
        }
        lab.until(began + 1_000);
        for (int i = 2; i < 8; i++) {
            viewers.setUp(FIRST + i, Config.RECORDED, Config.TENANT, "v" + i, 4000, "home:" + cell + ";copies:1;top:1;viewer:" + Client.hex(FIRST + i),
                Client.description(FIRST + i));
            Thread.sleep(300);
        }
        lab.until(began + DROPPED_MS);
        if (lab.trouble) {
            coordinator.tell(cut.entry(cell, "DELETED", 0));
            lab.until(began + CUT_MS);
            cut.heal();
            lab.note(cut.name + " is reached again, with sessions " + cut.sessions.keySet());
            lab.until(began + LISTED_AGAIN_MS);
            coordinator.tell(cut.entry(cell, "SERVING", 0));
        }
        lab.until(began + ASKED_AGAIN_MS);
        Client again = new Client(lab, "viewer again", port, viewers.sessions);
        again.setUp(FIRST + 9, Config.PLUS, Config.TENANT, "t", 3000, "home:0;copies:3;top:1;viewer:" + Client.hex(FIRST + 9),
            Client.description(FIRST + 9));
        Thread.sleep(3_000);
        Set<String> held = new TreeSet<>();
        for (Host host : hosts) {
            for (long id : new long[] {FIRST, FIRST + 9}) {
                if (host.sessions.containsKey(Client.hex(id))) {
                    held.add(Client.hex(id) + " at " + host.name);
                }
            }
        }
        Client.Seen first = viewers.sessions.get(FIRST);
        lab.say("sessions of the title in " + Config.PLUS + " that stand for this gateway: " + held + ", seats " + SEATS + "; the first was released"
            + " towards its viewer " + (first.releasedAt < 0 ? "not at all" : lab.now() - first.releasedAt + " ms ago"));
        return held.size() > SEATS ? Lab.BROKEN : Lab.HELD;
    }
}
