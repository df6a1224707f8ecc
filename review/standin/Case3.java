import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;

/**
 * A fleet of 15 media hosts, or of 200 (the disruption), and one gateway with 256 descriptors, which may not test hosts. 200 sessions that
 * play already are handed to it on 40 connections as it starts. Then they come to their ends at their hosts, one after the other. Every
 * viewer has to be told.
 */
public final class Case3 {
    private static final int SMALL = 15;
    private static final int LARGE = 200;
    private static final int SESSIONS = 200;
    private static final int CONNECTIONS = 40;
    private static final double RELEASED_WITHIN_MS = 1_050;
    private static final double OVER_WITHIN_MS = 8_050;

    public static void main(String[] arguments) {
        Rig.main(arguments, Case3::play);
    }

    private static void play(Rig rig) throws Exception {
        int size = Rig.TROUBLE ? LARGE : SMALL;
        Coordinator coordinator = new Coordinator(rig);
        List<Host> fleet = new ArrayList<>();
        for (int i = 0; i < size; i++) {
            fleet.add(new Host(rig, String.format("s-%08x", i), i));
        }
        int port = Rig.freePort();
        String entries = fleet.stream().map(h -> h.entry("SERVING", 0)).collect(Collectors.joining(","));
        // As depot-training has it: no tests of hosts, reports in answers.
        String settings = Rig.settings(size, "").replace("\"probes\":true", "\"probes\":false")
            .replace("\"via\":\"on_probe\"", "\"via\":\"inline\"").replace("[\"inflight\",\"x0\"]", "[\"util\",\"x1\"]")
            .replace("\"mostTries\":3", "\"mostTries\":4").replace("\"connIdleNs\":15000000000", "\"connIdleNs\":30000000000");
        rig.gateway("n1", port, rig.config("n1.json", "n1", port, 256, coordinator.port(), entries, settings));
        Viewer.ready(rig, port);
        Viewer.Book book = new Viewer.Book();
        List<Viewer> viewers = new ArrayList<>();
        List<ByteArrayOutputStream> handed = new ArrayList<>();
        for (int i = 0; i < CONNECTIONS; i++) {
            viewers.add(new Viewer(rig, book, "viewers-" + i, port));
            handed.add(new ByteArrayOutputStream());
        }
        Map<Long, Host> sessions = new HashMap<>();
        for (int i = 0; i < SESSIONS; i++) {
            long id = Rig.id();
            Host host = fleet.get(i % size);
            host.holds(Rig.hex(id));
            sessions.put(id, host);
            handed.get(i % CONNECTIONS).write(Viewer.setUp(id, "recorded", Rig.hex(id ^ 0x77), host.cell, 3, WAIT_MS, ";at:" + host.name));
            rig.note("viewers-" + i % CONNECTIONS, "hand-over " + Rig.hex(id) + " at " + host.name);
        }
        for (int i = 0; i < CONNECTIONS; i++) {
            viewers.get(i).send(handed.get(i).toByteArray());
        }
        Rig.pause(10_000);
        for (Map.Entry<Long, Host> session : sessions.entrySet()) {
            session.getValue().end(Rig.hex(session.getKey()));
            Rig.pause(30);
        }
        Rig.pause((long) OVER_WITHIN_MS + 3_000);
        int late = 0;
        int never = 0;
        for (Map.Entry<Long, Host> session : sessions.entrySet()) {
            String id = Rig.hex(session.getKey());
            double over = session.getValue().over.get(id);
            Double said = session.getValue().released.get(id);
            double due = said != null && said - over < 100 ? said + RELEASED_WITHIN_MS
                : Math.max(over + OVER_WITHIN_MS, said == null ? 0 : said + RELEASED_WITHIN_MS);
            Double told = book.released.get(session.getKey());
            if (told == null || told > due) {
                rig.note("check", id + " was over at " + over + " at " + session.getValue().name + ", said by its host at " + said
                    + ", due towards its viewer at " + due + ", told at " + told);
                late++;
                never += told == null ? 1 : 0;
            }
        }
        rig.say(viewers.stream().filter(v -> v.open).count() + " of " + CONNECTIONS + " connections of viewers are open");
        if (late > 0) {
            rig.broken("the ends of " + late + " of " + SESSIONS + " sessions were not told in time, " + never + " of them not at all");
        } else {
            rig.say("the ends of all " + SESSIONS + " sessions were told in time");
        }
    }

    private static final int WAIT_MS = 4000;
}
