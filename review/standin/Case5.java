import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collectors;

/**
 * Twelve media hosts and one gateway, at which twelve sessions stand. SIGTERM (the disruption); 3.2 s later the sessions come to their
 * ends, and their hosts say so at once. SIGKILL comes 7 s after SIGTERM. A viewer is owed each end within 1 s of its host's release as long
 * as the process lives.
 */
public final class Case5 {
    private static final int HOSTS = 12;
    private static final int SESSIONS = 12;
    private static final int WAIT_MS = 4000;
    private static final long END_AFTER_MS = 3_200;
    private static final long KILL_AFTER_MS = 7_000;
    private static final double RELEASED_WITHIN_MS = 1_050;

    public static void main(String[] arguments) {
        Rig.main(arguments, Case5::play);
    }

    private static void play(Rig rig) throws Exception {
        Coordinator coordinator = new Coordinator(rig);
        List<Host> fleet = new ArrayList<>();
        for (int i = 0; i < HOSTS; i++) {
            fleet.add(new Host(rig, String.format("s-%08x", i), i));
        }
        int port = Rig.freePort();
        String entries = fleet.stream().map(h -> h.entry("SERVING", 0)).collect(Collectors.joining(","));
        Process gateway = rig.gateway("n1", port, rig.config("n1.json", "n1", port, 512, coordinator.port(), entries, Rig.settings(HOSTS, "")));
        double[] endedAt = {Double.MAX_VALUE};
        gateway.onExit().thenAccept(p -> {
            endedAt[0] = Rig.ms();
            rig.note("rig", "the gateway's process has ended");
        });
        Viewer.ready(rig, port);
        Viewer.Book book = new Viewer.Book();
        Viewer viewers = new Viewer(rig, book, "viewers-1", port);
        List<Long> sessions = new ArrayList<>();
        for (int i = 0; i < SESSIONS; i++) {
            long id = Rig.id();
            viewers.ask(id, Viewer.setUp(id, "recorded", Rig.hex(id ^ 0x77), i, 3, WAIT_MS, ""), "home " + i);
            Rig.pause(40);
            sessions.add(id);
        }
        Rig.pause(1500);
        sessions.removeIf(id -> !"served".equals(book.answers.get(id)));
        if (sessions.isEmpty()) {
            throw new IllegalStateException("no session stands");
        }
        rig.say(sessions.size() + " sessions stand");
        double termAt = Rig.ms();
        if (Rig.TROUBLE) {
            rig.signal(gateway, "TERM");
        }
        Rig.pause(END_AFTER_MS);
        for (long id : sessions) {
            fleet.forEach(host -> host.end(Rig.hex(id)));
        }
        Rig.pause((long) (KILL_AFTER_MS - (Rig.ms() - termAt)));
        if (Rig.TROUBLE && gateway.isAlive()) {
            rig.signal(gateway, "KILL");
            endedAt[0] = Math.min(endedAt[0], Rig.ms());
        }
        int late = 0;
        for (long id : sessions) {
            Double said = fleet.stream().map(h -> h.released.get(Rig.hex(id))).filter(t -> t != null).findFirst().orElse(null);
            Double told = book.released.get(id);
            rig.note("check", Rig.hex(id) + " said by its host at " + said + ", told to its viewer at " + told + ", process ended at " + endedAt[0]);
            boolean owed = said != null && said + RELEASED_WITHIN_MS < endedAt[0];
            late += owed && (told == null || told > said + RELEASED_WITHIN_MS) ? 1 : 0;
        }
        rig.say("SIGTERM at " + (Rig.TROUBLE ? termAt : Double.NaN) + " ms, the viewers' connection was ended by the gateway at " + viewers.closedAt
            + ", its process ended at " + endedAt[0]);
        if (late > 0) {
            rig.broken(late + " ends that media hosts had said were not told to their viewers within 1 s, though the process lived on");
        } else {
            rig.say("no end that was owed came late");
        }
    }
}
