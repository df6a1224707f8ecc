import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.stream.Collectors;

/**
 * Twenty media hosts and one gateway with 256 descriptors; viewers come, 25 a second. One host, a process of its own, stands still for 22.5 s (the disruption:
 * SIGSTOP, SIGCONT). What came to its end there meanwhile it says when it goes on. Viewers have to be told.
 */
public final class Case2 {
    private static final int HOSTS = 20;
    private static final int WAIT_MS = 4000;
    private static final int WORK_MS = 60;
    private static final int LEAST_LIFE_MS = 22_000;
    private static final int MOST_LIFE_MS = 47_000;
    private static final long HANG_AT_MS = 14_000;
    private static final long HANG_MS = 22_500;
    private static final long LENGTH_MS = 44_000;
    private static final double RELEASED_WITHIN_MS = 1_050;
    private static final double OVER_WITHIN_MS = 8_050;

    public static void main(String[] arguments) {
        Rig.main(arguments, Case2::play);
    }

    private static void play(Rig rig) throws Exception {
        Coordinator coordinator = new Coordinator(rig);
        Map<String, Double> over = new ConcurrentHashMap<>();
        Map<String, Double> said = new ConcurrentHashMap<>();
        int[] childPort = {0};
        Process stopped = rig.child(words -> {
            switch (words[1]) {
                case "PORT" -> childPort[0] = Integer.parseInt(words[2]);
                case "OVER" -> over.put(words[2], Double.parseDouble(words[3]));
                default -> said.put(words[2], Double.parseDouble(words[3]));
            }
        }, "LoopHost", "s-00000000", "" + WORK_MS, "" + LEAST_LIFE_MS, "" + MOST_LIFE_MS);
        ScheduledExecutorService clock = Executors.newScheduledThreadPool(2);
        List<Host> others = new ArrayList<>();
        for (int i = 1; i < HOSTS; i++) {
            others.add(new Living(rig, String.format("s-%08x", i), i, WORK_MS, LEAST_LIFE_MS, MOST_LIFE_MS, new Random(i + 1), clock));
        }
        while (childPort[0] == 0) {
            Rig.pause(10);
        }
        String entries = Rig.entry("s-00000000", childPort[0], 0, "SERVING", 0) + ","
            + others.stream().map(h -> h.entry("SERVING", 0)).collect(Collectors.joining(","));
        int port = Rig.freePort();
        rig.gateway("n1", port, rig.config("n1.json", "n1", port, 256, coordinator.port(), entries,
            Rig.settings(HOSTS, "").replace("\"coldNs\":12000000000", "\"coldNs\":5000000000"))); // The site has 5 to 12 s.
        Viewer.ready(rig, port);
        Viewer.Book book = new Viewer.Book();
        Viewer viewers = new Viewer(rig, book, "viewers-1", port);
        double begun = Rig.ms();
        boolean isStopped = false;
        boolean wasStopped = false;
        for (int i = 0; Rig.ms() - begun < LENGTH_MS; i++) {
            long id = Rig.id();
            viewers.ask(id, Viewer.setUp(id, "recorded", Rig.hex(id ^ 0x77), i % HOSTS, 3, WAIT_MS, ""), "home " + i % HOSTS);
            double now = Rig.ms() - begun;
            if (Rig.TROUBLE && !wasStopped && now > HANG_AT_MS) {
                rig.signal(stopped, "STOP");
                isStopped = wasStopped = true;
            } else if (isStopped && now > HANG_AT_MS + HANG_MS) {
                rig.signal(stopped, "CONT");
                isStopped = false;
            }
            Rig.pause(40);
        }
        Rig.pause((long) OVER_WITHIN_MS + 1_500);
        double end = Rig.ms();
        int owed = 0;
        int late = 0;
        int never = 0;
        for (Map.Entry<String, Double> session : over.entrySet()) {
            long id = Long.parseUnsignedLong(session.getKey(), 16);
            if (!"served".equals(book.answers.get(id))) {
                continue;
            }
            Double saidAt = said.get(session.getKey());
            double due = Math.max(session.getValue() + OVER_WITHIN_MS, saidAt == null ? 0 : saidAt + RELEASED_WITHIN_MS);
            if (saidAt != null && saidAt - session.getValue() < 100) {
                due = saidAt + RELEASED_WITHIN_MS;
            }
            if (due > end) {
                continue;
            }
            owed++;
            Double told = book.released.get(id);
            if (told == null || told > due) {
                rig.note("check", session.getKey() + " was over at " + session.getValue() + ", its host said so at " + saidAt
                    + ", due towards its viewer at " + due + ", told at " + told);
                late++;
                never += told == null ? 1 : 0;
            }
        }
        rig.say(owed + " sessions of the host that stood still are over and judged");
        if (owed == 0) {
            throw new IllegalStateException("no session to judge");
        }
        if (late > 0) {
            rig.broken("the ends of " + late + " of them were not told in time, " + never + " not at all");
        } else {
            rig.say("all were told in time");
        }
    }
}
