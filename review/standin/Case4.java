import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Collectors;

/**
 * Twelve media hosts, one gateway that has just started, 20 viewers one after the other. The first three good answers arrive with noise in them (the
 * disruption), whichever host they come from. No viewer may be answered 'served' with a description that no host made.
 */
public final class Case4 {
    private static final int HOSTS = 12;
    private static final int VIEWERS = 20;
    private static final int SPOILT = 3;
    private static final int WAIT_MS = 4000;
    private static final String NOISE = "ghjkqwxyz#~%&";

    private static final AtomicInteger answers = new AtomicInteger();
    /** What media hosts made, by session. */
    private static final Map<String, Set<String>> made = new ConcurrentHashMap<>();
    private static final Random chance = new Random(7);

    public static void main(String[] arguments) {
        Rig.main(arguments, Case4::play);
    }

    private static final class Noisy extends Host {
        Noisy(Rig rig, String name, int cell) throws IOException {
            super(rig, name, cell);
        }

        @Override
        void setUp(Connection on, String session, Map<String, String> fields, byte[] description) {
            String id = String.format("%016x", Math.abs(chance.nextLong()));
            String body = id + "\r\nc=IN IP4 127.0.0.1\r\nm=audio " + (20000 + chance.nextInt(20000)) + " RTP/AVP 0 8 101\r\n";
            made.computeIfAbsent(session, s -> ConcurrentHashMap.newKeySet()).add(body);
            boolean spoilt = Rig.TROUBLE && answers.incrementAndGet() <= SPOILT;
            if (spoilt) {
                StringBuilder noisy = new StringBuilder(body);
                for (int i = 0; i < 3; i++) {
                    noisy.setCharAt(chance.nextInt(16), NOISE.charAt(chance.nextInt(NOISE.length())));
                }
                body = noisy.toString();
            }
            synchronized (this) {
                sessions.put(session, on);
            }
            rig.note(name, "200 to SETUP " + session + (spoilt ? ", arrives with noise: " : ": ") + body.replace("\r\n", "|"));
            on.write("RTSP/1.0 200 OK\r\nCSeq: 1\r\nSession: " + session + "\r\nContent-Length: " + body.getBytes(StandardCharsets.ISO_8859_1).length
                + "\r\n\r\n" + body);
        }
    }

    private static void play(Rig rig) throws Exception {
        Coordinator coordinator = new Coordinator(rig);
        List<Host> fleet = new ArrayList<>();
        for (int i = 0; i < HOSTS; i++) {
            fleet.add(new Noisy(rig, String.format("s-%08x", i), i));
        }
        int port = Rig.freePort();
        String entries = fleet.stream().map(h -> h.entry("SERVING", 0)).collect(Collectors.joining(","));
        rig.gateway("n1", port, rig.config("n1.json", "n1", port, 512, coordinator.port(), entries, Rig.settings(HOSTS, "")));
        Viewer.ready(rig, port);
        Viewer.Book book = new Viewer.Book();
        Viewer viewers = new Viewer(rig, book, "viewers-1", port);
        List<Long> all = new ArrayList<>();
        for (int i = 0; i < VIEWERS; i++) {
            long id = Rig.id();
            all.add(id);
            viewers.ask(id, Viewer.setUp(id, "recorded", Rig.hex(id ^ 0x77), i * 3 % HOSTS, 3, WAIT_MS, ""), "home " + i * 3 % HOSTS);
            Rig.pause(300);
        }
        Rig.pause(2000);
        int served = 0;
        int wrong = 0;
        for (long id : all) {
            String description = book.descriptions.get(id);
            if (description != null) {
                served++;
                if (!made.getOrDefault(Rig.hex(id), Set.of()).contains(description)) {
                    wrong++;
                    rig.say(Rig.hex(id) + " was served with " + description.replace("\r\n", "|") + ", media hosts made "
                        + made.getOrDefault(Rig.hex(id), Set.of()).toString().replace("\r\n", "|"));
                }
            }
        }
        rig.say(served + " of " + VIEWERS + " viewers were served");
        if (served == 0) {
            throw new IllegalStateException("no viewer was served");
        }
        if (wrong > 0) {
            rig.broken(wrong + " answers 'served' carry what no media host made");
        } else {
            rig.say("every answer 'served' carries what a media host made for it");
        }
    }
}
