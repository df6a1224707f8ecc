package cypressvalve;

import cypressvalve.model.*;
import java.util.*;
import java.util.function.Function;

/** The one helper: plays scenario lines on a Control and writes down what it does. */
final class Stage implements Gateway {
    private static final long MS = 1_000_000;
    /** Day zero of the scenarios' clock. */
    private static final long ZERO = 1_000_000 * MS;

    final List<String> acts = new ArrayList<>();
    private final Settings settings = new Settings();
    private final Map<String, MediaHost> hosts = new LinkedHashMap<>();
    private final Map<String, Playback> playbacks = new HashMap<>();
    private final Map<String, Title> titles = new HashMap<>();
    private Control control;
    private long now = ZERO;
    private long wake = Long.MAX_VALUE;

    Stage() {
        settings.ladder = new double[] {100, 200, 400, 800};
        settings.rungRevenue = new double[] {0.25, 0.5, 0.75, 1};
        settings.cells = 12;
        settings.linkPerRating = 1000;
        settings.noteDelay = 500 * MS;
        settings.notePeriod = 3000 * MS;
        settings.mostTries = 3;
        settings.coldTime = 10_000 * MS;
        settings.coldShare = 0.5;
        settings.fallTime = 1000 * MS;
        settings.fallMultiple = 3;
        settings.joinShare = 0.3;
    }

    void play(String line) {
        String[] w = line.split("\\s+");
        Map<String, String> f = new HashMap<>();
        for (String word : w) {
            String[] pair = word.split("=", 2);
            f.put(pair[0], pair.length > 1 ? pair[1] : "1");
        }
        switch (w[0]) {
            case "settings" -> settings(f);
            case "plan" -> settings.plans.add(plan(f));
            case "host" -> host(w[1], f);
            case "start" -> {
                control = new Control(settings, 7, now, this);
                tell(() -> control.listed(List.copyOf(hosts.values()), true));
            }
            case "wait" -> {
                acts.clear();
                long until = now + Long.parseLong(w[1]) * MS;
                while (wake <= until) {
                    now = Math.max(now, wake);
                    wake = Long.MAX_VALUE;
                    control.at(now);
                    control.settle();
                }
                now = until;
            }
            case "list" -> tell(() ->
                control.listed(Arrays.stream(w).skip(1).map(hosts::get).toList(), false));
            case "request" -> tell(() -> control.requested(playback(w[1], f)));
            case "handover" -> tell(() -> {
                Playback pb = playback(w[1], f);
                control.handedOver(pb, hosts.get(f.get("on")));
                control.rungTold(pb.lastTry(), Integer.parseInt(f.getOrDefault("rung", "0")));
            });
            case "started" -> tell(() -> control.started(playbacks.get(w[1]).lastTry()));
            case "back" -> tell(() -> control.cameBack(playbacks.get(w[1]).lastTry(), Verdict.valueOf(w[2]),
                f.containsKey("finished"), Double.NaN, Double.NaN));
            case "delivered" -> tell(() ->
                control.delivered(playbacks.get(w[1]).lastTry(), Double.parseDouble(w[2])));
            case "load" -> tell(() -> control.loadTold(playbacks.get(w[1]).lastTry(),
                Double.parseDouble(w[2]), w.length > 3 ? Double.parseDouble(w[3]) : Double.NaN));
            case "probed" -> tell(() -> control.probed(hosts.get(w[1]), Verdict.valueOf(w[2]),
                w.length > 3 ? Double.parseDouble(w[3]) : Double.NaN, Double.NaN));
            case "left" -> tell(() -> control.over(playbacks.get(w[1])));
            case "listfailed" -> tell(() -> control.listFailed());
            default -> throw new IllegalArgumentException("no such line: " + line);
        }
    }

    private void tell(Runnable input) {
        acts.clear();
        control.at(now);
        input.run();
        control.settle();
    }

    private void settings(Map<String, String> f) {
        settings.me = whole(f, "me", settings.me);
        settings.gateways = whole(f, "gateways", settings.gateways);
        settings.mostTries = whole(f, "tries", settings.mostTries);
        settings.mayProbe = settings.reportsOnProbe = f.containsKey("probes");
        settings.mayWithdraw = f.containsKey("withdraw");
        settings.mayNameComeBack = f.containsKey("comeback");
        settings.longestComeBack = whole(f, "comeback", 0) * MS;
        settings.listOnRequest = f.containsKey("ask");
        settings.uplink = f.containsKey("uplink") ? whole(f, "uplink", 0) : settings.uplink;
        settings.fullFrom = whole(f, "full", 0);
        settings.fleet = whole(f, "fleet", 0);
        settings.worstPlanWeight = Double.parseDouble(f.getOrDefault("worst", "0"));
        settings.extraFloor = whole(f, "extra", -1);
        settings.extraPerPlayback = Double.parseDouble(f.getOrDefault("share", "0"));
        settings.extraWindow = whole(f, "over", 0) * MS;
    }

    private Plan plan(Map<String, String> f) {
        Plan plan = new Plan();
        plan.effect = Plan.Effect.valueOf(f.getOrDefault("effect", "REPEATABLE"));
        plan.scope = Plan.Scope.valueOf(f.getOrDefault("scope", "ALL"));
        plan.keyWindow = whole(f, "window", 5000) * MS;
        plan.startupTarget = whole(f, "target", 1000) * MS;
        plan.live = f.containsKey("live");
        plan.floor = whole(f, "floor", 0);
        plan.top = whole(f, "top", 9);
        plan.seats = whole(f, "seats", 0);
        plan.rates = settings.ladder;
        return plan;
    }

    private void host(String name, Map<String, String> f) {
        Function<String, MediaHost> fresh = n -> new MediaHost(Long.parseLong(n));
        MediaHost host = hosts.computeIfAbsent(name, fresh);
        host.cell = whole(f, "cell", host.cell);
        host.zone = f.getOrDefault("zone", host.zone);
        host.state = MediaHost.State.valueOf(f.getOrDefault("state", "ACTIVE"));
        host.startedAt = f.containsKey("startedat") ? ZERO + whole(f, "startedat", 0) * MS : host.startedAt;
        host.link = whole(f, "link", 1000);
        host.places = whole(f, "places", 40);
    }

    private Playback playback(String name, Map<String, String> f) {
        Playback pb = new Playback(name);
        pb.plan = settings.plans.get(whole(f, "plan", 0));
        pb.title = titles.computeIfAbsent(f.getOrDefault("title", "t"), Title::new);
        pb.title.heldBy(whole(f, "first", 0), whole(f, "copies", 3));
        pb.ceiling = whole(f, "ceiling", 3);
        pb.arrivedAt = now;
        pb.abandonAt = now + whole(f, "abandon", 3000) * MS;
        pb.hint = whole(f, "hint", 40_000) * MS;
        playbacks.put(name, pb);
        return pb;
    }

    private static int whole(Map<String, String> f, String key, int otherwise) {
        return Integer.parseInt(f.getOrDefault(key, String.valueOf(otherwise)));
    }

    @Override
    public void setUp(Playback pb, MediaHost host, long maxWait) {
        acts.add("setup " + pb.id + " on " + host.id + " rung " + pb.rung + " for " + maxWait / MS);
    }

    @Override
    public void setRung(Playback pb, int rung) {
        acts.add("rung " + pb.id + " " + rung);
    }

    @Override
    public void reject(Playback pb, long comeBackIn) {
        acts.add("reject " + pb.id + " " + comeBackIn / MS);
    }

    @Override
    public void fail(Playback pb) {
        acts.add("fail " + pb.id);
    }

    @Override
    public void withdraw(SetupTry setupTry) {
        acts.add("withdraw " + setupTry.playback.id + " " + setupTry.number);
    }

    @Override
    public void move(Playback pb) {
        acts.add("move " + pb.id);
    }

    @Override
    public void probe(MediaHost host) {
        acts.add("probe " + host.id);
    }

    @Override
    public void release(MediaHost host) {
        acts.add("release " + host.id);
    }

    @Override
    public void wakeAt(long time) {
        wake = time;
    }

    @Override
    public void tell(int gateway, byte[] data) {
        acts.add("tell " + gateway);
    }

    @Override
    public void followList(boolean on) {
        acts.add("follow " + on);
    }

    @Override
    public void fetchList() {
        acts.add("fetch");
    }

    @Override
    public void log(String line) {
        acts.add("log " + line);
    }
}
