import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/** Bad clients that name ids which no media host knows as sessions that play there, beside usual viewers. */
final class Case7 {
    private static final long FIRST = 0x7000;
    private static final int REQUESTS = 200;
    private static final int WAIT_MS = 1_500;
    /** An answer that comes later than this after its request's time is lost: half a second, and the protocol's slack. */
    private static final int LATE_MS = 550;
    private static final int BAD_CLIENTS = 24;
    private static final int IDS_EACH = 400;
    private static final String LIVE = "live";
    private static final String VIEWER = ";top:4;viewer:00000000b4d65521";

    public static void main(String[] args) {
        Lab.main(args[0], Case7::run);
    }

    private static int run(Lab lab) throws Exception {
        Coordinator coordinator = new Coordinator(lab);
        List<Coordinator.Entry> list = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            list.add(new Reporting(lab, "s-" + i).listen(0).entry(i, "SERVING", 0));
        }
        coordinator.tell(list.toArray(new Coordinator.Entry[0]));
        Config config = new Config();
        config.sockets = 512;
        int port = Lab.freePort();
        lab.gateway("n1", port, config.text(coordinator));
        lab.awaitReady(port);
        if (lab.trouble) {
            lab.say(BAD_CLIENTS + " bad clients name " + IDS_EACH + " ids each, which no media host knows, as sessions that play at s-0");
            for (int i = 1; i <= BAD_CLIENTS; i++) {
                Client bad = new Client(lab, "bad client " + i, port);
                for (long id = i * 0x100000L; id < i * 0x100000L + IDS_EACH; id++) {
                    bad.sendAll(Client.message(Client.SET_UP, id,
                        Client.setUpParameters(LIVE, Config.TENANT, "event", WAIT_MS, "home:0;copies:3" + VIEWER + ";at:s-0",
                            Client.description(id))));
                }
                bad.note("has sent " + IDS_EACH + " set-ups with at:s-0");
            }
        }
        Client usual = new Client(lab, "usual viewers", port);
        boolean[] lost = new boolean[REQUESTS];
        for (int i = 0; i < REQUESTS; i++) {
            usual.setUp(FIRST + i, Config.RECORDED, Config.TENANT, "t" + i, WAIT_MS, "home:" + i % 3 + ";copies:1" + VIEWER,
                Client.description(FIRST + i));
            Thread.sleep(100);
            giveUpLate(lab, usual, lost);
        }
        Thread.sleep(WAIT_MS + 2 * LATE_MS);
        giveUpLate(lab, usual, lost);
        int count = 0;
        for (int i = 0; i < REQUESTS; i++) {
            Client.Seen seen = usual.sessions.get(FIRST + i);
            long at = answeredAt(seen);
            boolean late = lost[i] || at < 0 || at - seen.sentAt > WAIT_MS + LATE_MS;
            count += late ? 1 : 0;
            lab.note(Client.hex(FIRST + i) + (at < 0 ? " has no answer" : " answered after " + (at - seen.sentAt) + " ms") + (late ? ": LOST" : ""));
        }
        lab.say(count + " of " + REQUESTS + " requests of usual viewers had no answer half a second after their time");
        return count > 0 ? Lab.BROKEN : Lab.HELD;
    }

    private static long answeredAt(Client.Seen seen) {
        return seen.answeredAt >= 0 ? seen.answeredAt : seen.refusedAt;
    }

    /** Viewers who have no answer once their request is lost stop waiting, and give it up. */
    private static void giveUpLate(Lab lab, Client usual, boolean[] lost) throws IOException {
        for (int i = 0; i < REQUESTS; i++) {
            Client.Seen seen = usual.sessions.get(FIRST + i);
            if (seen != null && seen.sentAt >= 0 && !lost[i] && answeredAt(seen) < 0 && lab.now() - seen.sentAt > WAIT_MS + LATE_MS) {
                lost[i] = true;
                usual.note("gives up " + Client.hex(FIRST + i) + " after " + (lab.now() - seen.sentAt) + " ms");
                usual.send(Client.RELEASE, FIRST + i, new byte[] {(byte) 171, 0, 1, 16});
            }
        }
    }

    /** Reports what is asked of its link at least: each session there at the middle rate, as if none shared a stream. */
    private static final class Reporting extends Host {
        private Reporting(Lab lab, String name) {
            super(lab, name);
        }

        @Override
        double linkUse() {
            return sessions.size() * Config.MIDDLE_KB / Config.LINK_KB;
        }
    }
}
