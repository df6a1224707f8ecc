package cypressvalve.lab;

import cypressvalve.fleet.ListEntry;
import cypressvalve.host.HostClient;
import cypressvalve.host.LoadReport;
import cypressvalve.host.SetUpOrder;
import cypressvalve.config.Service;
import cypressvalve.model.MediaHost;
import cypressvalve.model.Verdict;
import cypressvalve.session.Ask;
import cypressvalve.session.Silence;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;

/** A gateway that decides by a simple policy, for comparison only. */
final class Baseline implements Front, HostClient.Notes {
    private static final long SWEEP = 500_000_000L;
    private static final long COME_BACK = 500_000_000L;

    private final LabGateway.Place place;
    private final Policy policy;
    private final RandomGenerator chance;
    private final Map<Integer, ListEntry> listed = new LinkedHashMap<>();
    private final Map<String, One> playing = new LinkedHashMap<>();
    private final int[] own;
    private long made;
    private boolean closed;

    private final class One implements Playing {
        private final String id;
        private final ListEntry host;
        private final int rung;
        private boolean plays;
        private long lastSeen;

        private One(String id, ListEntry host, int rung) {
            this.id = id;
            this.host = host;
            this.rung = rung;
        }

        @Override
        public boolean plays() {
            return plays;
        }

        @Override
        public int host() {
            return (int) host.address().id();
        }

        @Override
        public int rung() {
            return rung;
        }

        @Override
        public String name() {
            return id + ".0";
        }

        @Override
        public void seen() {
            lastSeen = place.time().now();
        }

        @Override
        public void end() {
            over(this, true);
        }
    }

    Baseline(LabGateway.Place place, Policy policy) {
        this.place = place;
        this.policy = policy;
        own = new int[place.service().fleet().cells()];
        chance = RandomGeneratorFactory.of("L64X128MixRandom").create(place.seed());
        place.client().notes = this;
        place.list().follow(place.number(), (entries, whole) -> {
            if (whole) {
                listed.clear();
            }
            entries.forEach(e -> listed.put((int) e.address().id(), e));
        });
        sweep();
    }

    private void sweep() {
        place.time().after(SWEEP, () -> {
            if (!closed) {
                List.copyOf(playing.values()).stream().filter(p -> Silence.gone(p.lastSeen, place.time().now(),
                    place.service().segment())).forEach(p -> over(p, true));
                sweep();
            }
        });
    }

    private void over(One one, boolean release) {
        if (one.plays) {
            one.plays = false;
            playing.remove(one.id);
            own[one.host()]--;
            if (release) {
                place.client().release(one.host.address(), one.name());
            }
            if (playing.values().stream().noneMatch(o -> o.host() == one.host())) {
                place.client().follow(one.host.address(), false);
            }
        }
    }

    @Override
    public Runnable ask(Ask ask, Told told) {
        Service.TitleRow title = place.service().titles().get(ask.title());
        List<Integer> holders = new ArrayList<>();
        for (int i = 0; i < title.copies(); i++) {
            int cell = (title.first() + i) % place.service().fleet().cells();
            ListEntry entry = listed.get(cell);
            if (entry != null && entry.state() == MediaHost.State.ACTIVE) {
                holders.add(cell);
            }
        }
        Service.PlanRow plan = place.service().plans().get(ask.plan());
        boolean full = plan.seats() > 0 && playing.values().stream().filter(o -> o.id.contains(key(ask))).count()
            >= plan.seats();
        if (holders.isEmpty() || full) {
            told.rejected(COME_BACK);
            return () -> { };
        }
        ListEntry host = listed.get(policy.choose(holders, title, own, chance));
        int rung = Math.max(plan.floor(), Math.min(ask.ceiling(), plan.top()));
        One one = new One("g" + place.number() + "-b" + made++ + key(ask), host, rung);
        boolean[] left = new boolean[1];
        own[one.host()]++;
        HostClient.Call call = place.client().setUp(host.address(), new SetUpOrder(one.id, 0, ask.title(), ask.plan(),
            rung, Math.min(plan.startup(), ask.patience()), "", null), new HostClient.SetUpResult() {
                @Override
                public void started(LoadReport report) {
                    one.plays = true;
                    one.lastSeen = place.time().now();
                    playing.put(one.id, one);
                    place.client().follow(host.address(), true);
                    if (left[0]) {
                        over(one, true);
                    } else {
                        told.playing(one);
                    }
                }

                @Override
                public void cameBack(Verdict verdict, LoadReport report) {
                    own[one.host()]--;
                    if (!left[0]) {
                        told.rejected(COME_BACK);
                    }
                }
            });
        return () -> {
            left[0] = true;
            call.withdraw();
        };
    }

    private static String key(Ask ask) {
        return "-" + ask.plan() + "-" + ask.title() + "-";
    }

    @Override
    public Playing playing(String id) {
        return null; // What played before the day is not taken up.
    }

    @Override
    public void close() {
        closed = true;
    }

    @Override
    public void delivered(long host, String session, double share) {
    }

    @Override
    public void load(long host, String session, LoadReport report) {
    }

    @Override
    public HostClient.EndEffect ended(long host, String session, Verdict verdict) {
        return HostClient.EndEffect.KEPT;
    }

    @Override
    public void carried(long host, Set<String> sessions, long askedAt) {
    }

    @Override
    public void lost(long host) {
        List.copyOf(playing.values()).stream().filter(o -> o.host() == host).forEach(o -> over(o, false));
    }
}
