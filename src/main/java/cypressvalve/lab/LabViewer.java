package cypressvalve.lab;

import cypressvalve.config.Service;
import cypressvalve.session.Ask;
import cypressvalve.standin.Player;

/**
 * A viewer in simulated time: the stand-in player's habits without its sockets. It asks, fetches segments no faster
 * than it plays, leaves when it has seen enough or is starved, and comes again as people do.
 */
final class LabViewer {
    private static final long SECOND = 1_000_000_000L;
    /** What a player adds to its patience before it gives an answer up. */
    private static final long GRACE = SECOND / 2;

    private final Lab lab;
    private final Player.Viewer viewer;
    private long until;
    private int asks;
    private int lives;
    private long nextSegment = -1;
    private long watched;
    private Front.Playing session;
    private LabGateway at;
    private long playBegan;
    private long runsOut;
    private boolean over;

    LabViewer(Lab lab, Player.Viewer viewer) {
        this.lab = lab;
        this.viewer = viewer;
    }

    private long now() {
        return lab.time().now();
    }

    private void put(String kind, Object... fields) {
        Object[] all = new Object[fields.length + 2];
        all[0] = "viewer";
        all[1] = viewer.name();
        System.arraycopy(fields, 0, all, 2, fields.length);
        lab.tape().put("player", kind, all);
    }

    void start() {
        until = now() + viewer.length() + viewer.abandon();
        ask(false);
    }

    /** Goes on with a session that plays already. */
    void resume(LabGateway gateway, Front.Playing plays) {
        until = now() + viewer.length() + viewer.abandon();
        put("resumed", "gateway", gateway.number());
        begin(gateway, plays);
    }

    private void ask(boolean again) {
        if (over || now() > until) {
            return;
        }
        int number = lab.drawGateway();
        String id = viewer.name() + "#" + asks++;
        put("ask", "ask", id, "gateway", number, "title", viewer.title(), "plan", viewer.plan(), "tenant",
            viewer.tenant(), "sid", viewer.name() + "-" + lives, "abandon", viewer.abandon(), "again", again);
        long began = now();
        lab.time().after(lab.oneWay(), () -> arrive(lab.gateway(number), id, began));
    }

    private void arrive(LabGateway gateway, String id, long began) {
        if (gateway == null) {
            lab.time().after(lab.oneWay(), () -> {
                put("unreached", "ask", id);
                comeAgain(-1);
            });
            return;
        }
        Service.PlanRow plan = lab.service().plans().get(viewer.plan());
        boolean[] told = new boolean[1];
        Front.Told answer = new Front.Told() {
            @Override
            public void playing(Front.Playing plays) {
                answered(200, -1, plays);
            }

            @Override
            public void rejected(long comeBackIn) {
                answered(503, Math.max(1, (comeBackIn + SECOND - 1) / SECOND), null);
            }

            @Override
            public void failed() {
                answered(504, -1, null);
            }

            private void answered(int status, long retryAfter, Front.Playing plays) {
                lab.time().after(lab.oneWay(), () -> {
                    if (told[0]) {
                        return;
                    }
                    told[0] = true;
                    put("answer", "ask", id, "status", status, "took", now() - began);
                    if (status == 200) {
                        begin(gateway, plays);
                    } else {
                        comeAgain(retryAfter);
                    }
                });
            }
        };
        Runnable[] hangUp = new Runnable[1];
        Runnable lost = () -> {
            if (!told[0]) {
                told[0] = true;
                put("no-answer", "ask", id, "why", "lost");
                if (hangUp[0] != null && gateway.alive()) {
                    hangUp[0].run();
                }
                comeAgain(-1);
            }
        };
        gateway.whenKilled(lost);
        lab.time().after(viewer.abandon() + GRACE, lost);
        hangUp[0] = gateway.front().ask(new Ask(viewer.name() + "-" + lives, viewer.title(), viewer.plan(),
            viewer.tenant(), Math.min(viewer.screen(), lab.service().ladder().length - 1), viewer.hint() * SECOND,
            Math.min(plan.abandon(), viewer.abandon())), answer);
    }

    private void comeAgain(long retryAfter) {
        lives++;
        long wait = over ? -1 : lab.habits().comesAgainIn(asks, retryAfter, lab.chance());
        if (wait < 0) {
            put("stays-away");
            over = true;
            return;
        }
        lab.time().after(wait, () -> ask(true));
    }

    private void begin(LabGateway gateway, Front.Playing plays) {
        at = gateway;
        session = plays;
        playBegan = now();
        runsOut = 0;
        long segment = lab.service().segment();
        // A live player starts three segments behind the newest (RFC 8216, section 6.3.3).
        nextSegment = viewer.live() ? Math.max(0, now() / segment - 3) : 0;
        // The media playlist comes first.
        lab.time().after(2 * lab.oneWay(), () -> fetch(plays));
    }

    private boolean gone() {
        return !at.alive() || !session.plays();
    }

    private void fetch(Front.Playing of) {
        if (over || session != of) {
            return;
        }
        long want = viewer.length();
        if (now() - playBegan >= want || watched >= want || !viewer.live()
            && nextSegment * lab.service().segment() >= lab.service().titles().get(viewer.title()).length()) {
            leave();
            return;
        }
        long segment = lab.service().segment();
        if (viewer.live() && (nextSegment + 1) * segment > now()) {
            // Players look into the playlist every half segment.
            lab.time().after(segment / 2, () -> fetch(of));
            return;
        }
        long ahead = runsOut - now() - (long) (lab.habits().buffer() * SECOND);
        if (runsOut > 0 && ahead > 0) {
            lab.time().after(ahead, () -> fetch(of));
            return;
        }
        long began = now();
        lab.time().after(lab.oneWay(), () -> {
            if (over || session != of) {
                return;
            }
            if (gone()) {
                lab.time().after(lab.oneWay(), () -> broken(at.alive() ? "status-410" : "gateway"));
                return;
            }
            of.seen();
            int host = of.host();
            int rung = of.rung();
            String name = of.name();
            lab.time().after(2 * lab.oneWay(), () -> bytes(of, host, name, rung, began));
        });
    }

    private void bytes(Front.Playing of, int host, String name, int rung, long began) {
        if (over || session != of) {
            return;
        }
        boolean[] ended = new boolean[1];
        Runnable[] stop = new Runnable[1];
        stop[0] = lab.host(host).transfer(name, rung, (whole, why) -> {
            ended[0] = true;
            if (over || session != of) {
                return;
            }
            if (!whole) {
                lab.time().after(lab.oneWay(), () -> broken(why));
                return;
            }
            long now = now();
            long late = runsOut == 0 ? 0 : Math.max(0, now - runsOut);
            runsOut = Math.max(now, runsOut) + lab.service().segment();
            put("segment", "from", "host-" + host, "rung", rung, "took", now - began, "late", late);
            watched += lab.service().segment();
            nextSegment++;
            fetch(of);
        });
        // A viewer does not wait for one segment for ever: the buffer, and then its patience.
        lab.time().after(lab.habits().starve() + (long) (lab.habits().buffer() * SECOND), () -> {
            if (!ended[0]) {
                stop[0].run();
                if (!over && session == of) {
                    broken("media");
                }
            }
        });
    }

    private void broken(String why) {
        if (over) {
            return;
        }
        put("broken", "why", why);
        if (until - viewer.abandon() - now() <= 0) {
            over = true;
            return;
        }
        end();
        comeAgain(-1);
    }

    private void leave() {
        over = true;
        put("seen");
        if (lab.chance().nextDouble() >= lab.habits().silent()) {
            end();
        }
    }

    private void end() {
        Front.Playing of = session;
        LabGateway gateway = at;
        session = null;
        if (of != null) {
            lab.time().after(lab.oneWay(), () -> {
                if (gateway.alive() && of.plays()) {
                    of.end();
                }
            });
        }
    }
}
