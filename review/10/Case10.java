import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** The coordinator breaks off and is slow to answer from then on: a gateway gives up each call before its answer, and hears nothing. */
final class Case10 {
    private static final long FIRST = 0x8000;
    /** How long a call waits for its answer. */
    private static final long ANSWERED_AFTER_MS = 3_200;
    /** The protocol's page: what it would have told counts as told 4 s after it broke off, at the latest. */
    private static final long TOLD_MS = 4_000;
    private static final long WATCHED_MS = 25_000;
    private static final long DRAINED_FOR_MS = 15_000;
    private static final int HOLDERS = 3;

    public static void main(String[] args) {
        Lab.main(args[0], Case10::run);
    }

    private static int run(Lab lab) throws Exception {
        Coordinator coordinator = new Coordinator(lab);
        List<Host> hosts = new ArrayList<>();
        List<Coordinator.Entry> list = new ArrayList<>();
        for (int i = 0; i < HOLDERS; i++) {
            hosts.add(new Host(lab, "s-" + i).listen(0));
            list.add(hosts.get(i).entry(i, "SERVING", 0));
        }
        coordinator.tell(list.toArray(new Coordinator.Entry[0]));
        int port = Lab.freePort();
        lab.gateway("n1", port, new Config().text(coordinator));
        lab.awaitReady(port);
        Map<Long, Client.Seen> sessions = new ConcurrentHashMap<>();
        Thread.sleep(Config.COLD_MS + 1_000);
        long began = lab.now();
        if (lab.trouble) {
            coordinator.answersAfterMs = ANSWERED_AFTER_MS;
            coordinator.breakOff();
        }
        Thread.sleep(100);
        long told = lab.trouble ? began + TOLD_MS : lab.now();
        Host drained = hosts.get(0);
        coordinator.tell(drained.entry(0, "DRAINING", 0));
        Map<Long, Client> connections = new HashMap<>();
        boolean ended = false;
        for (long id = FIRST; lab.now() < began + WATCHED_MS; id++) {
            Client viewer = new Client(lab, "viewer", port, sessions);
            connections.put(id, viewer);
            viewer.setUp(id, Config.RECORDED, Config.TENANT, "t", 4000, "home:0;copies:" + HOLDERS + ";top:1;viewer:" + Client.hex(id),
                Client.description(id));
            Thread.sleep(700);
            if (!ended && lab.now() > began + DRAINED_FOR_MS) {
                ended = true;
                drained.die();
                coordinator.tell(drained.entry(0, "DELETED", 0));
            }
        }
        long from = told + Config.DRAIN_GRACE_MS + Config.SLACK_MS;
        List<Long> late = drained.setUpTimes.stream().filter(t -> t > from).toList();
        long cut = drained.setUps.entrySet().stream().filter(e -> e.getValue() > from)
            .filter(e -> sessions.get(Long.parseUnsignedLong(e.getKey(), 16)).cause == 41).count();
        lab.say("the drain was told at " + told + " ms at the latest; set-ups at s-0 later than " + from + " ms: " + late.size()
            + " " + late + "; of these, sessions that were cut as s-0 ended: " + cut);
        return late.isEmpty() ? Lab.HELD : Lab.BROKEN;
    }
}
