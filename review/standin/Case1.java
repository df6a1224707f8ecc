import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;

/**
 * A fleet of 15 media hosts, or of 200 (the disruption), and one gateway with 256 descriptors. 200 viewers come, 25 a second; then, four
 * times, eight set-ups are open on a connection as viewers on it leave together. Every set-up has to get one answer.
 */
public final class Case1 {
    private static final int SMALL = 15;
    private static final int LARGE = 200;
    private static final int SESSIONS = 200;
    private static final int LEAVE = 40;
    private static final int ROUNDS = 4;
    private static final int OPEN = 8;
    /** A set-up's work at a media host: the site has 40 to 120 ms. */
    private static final int WORK_MS = 120;
    private static final int WAIT_MS = 4000;

    public static void main(String[] arguments) {
        Rig.main(arguments, Case1::play);
    }

    private static final class Working extends Host {
        Working(Rig rig, String name, int cell) throws java.io.IOException {
            super(rig, name, cell);
        }

        @Override
        void setUp(Connection on, String session, Map<String, String> fields, byte[] description) {
            Coordinator.thread(() -> {
                Rig.pause(WORK_MS);
                answer(on, session, description);
            });
        }
    }

    private static void play(Rig rig) throws Exception {
        int size = Rig.TROUBLE ? LARGE : SMALL;
        Coordinator coordinator = new Coordinator(rig);
        List<Host> fleet = new ArrayList<>();
        for (int i = 0; i < size; i++) {
            fleet.add(new Working(rig, String.format("s-%08x", i), i));
        }
        int port = Rig.freePort();
        String entries = fleet.stream().map(h -> h.entry("SERVING", 0)).collect(Collectors.joining(","));
        rig.gateway("n1", port, rig.config("n1.json", "n1", port, 256, coordinator.port(), entries, Rig.settings(size, "")));
        Viewer.ready(rig, port);
        Viewer.Book book = new Viewer.Book();
        Viewer viewers = new Viewer(rig, book, "viewers-1", port);
        List<Long> sessions = new ArrayList<>();
        for (int i = 0; i < SESSIONS; i++) {
            long id = Rig.id();
            sessions.add(id);
            viewers.ask(id, Viewer.setUp(id, "recorded", Rig.hex(id ^ 0x77), i % size, 3, WAIT_MS, ""), "home " + i % size);
            Rig.pause(40);
        }
        Rig.pause(2000);
        List<Long> standing = sessions.stream().filter(id -> "served".equals(book.answers.get(id))).toList();
        int leave = Math.min(LEAVE, standing.size() / ROUNDS);
        rig.say(standing.size() + " of " + SESSIONS + " sessions stand; " + leave + " viewers leave in each of " + ROUNDS + " rounds");
        List<Long> asked = new ArrayList<>();
        for (int round = 0; round < ROUNDS && viewers.open; round++) {
            for (int i = 0; i < OPEN; i++) {
                long id = Rig.id();
                asked.add(id);
                int home = (round * OPEN + i) % size;
                viewers.ask(id, Viewer.setUp(id, "recorded", Rig.hex(id ^ 0x77), home, 3, WAIT_MS, ""), "home " + home);
            }
            Rig.pause(60); // A set-up that crosses a close within 50 ms would be the client's to send again.
            ByteArrayOutputStream leaving = new ByteArrayOutputStream();
            for (long id : standing.subList(round * leave, (round + 1) * leave)) {
                leaving.write(Viewer.message(Viewer.RELEASE, id, Viewer.cause(16)));
            }
            rig.note("viewers-1", leave + " viewers leave");
            viewers.send(leaving.toByteArray());
            Rig.pause(1500);
        }
        Rig.pause(WAIT_MS);
        long lost = 0;
        List<Long> all = new ArrayList<>(sessions);
        all.addAll(asked);
        for (long id : all) {
            String answers = book.answers.get(id);
            if (answers == null || answers.contains(",")) {
                lost++;
                rig.note("check", "set-up " + Rig.hex(id) + " sent at " + book.sent.get(id) + ": answers " + answers);
            }
        }
        if (!viewers.open) {
            rig.say("the gateway has closed the viewers' connection at " + viewers.closedAt + " ms");
        }
        if (lost > 0) {
            rig.broken(lost + " set-ups that the gateway took have no answer, or two");
        } else {
            rig.say("all " + all.size() + " set-ups have one answer");
        }
    }
}
