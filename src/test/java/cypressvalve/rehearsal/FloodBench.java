package cypressvalve.rehearsal;

import cypressvalve.admission.Gate;
import cypressvalve.config.Doc;
import cypressvalve.config.GatewaySettings;
import cypressvalve.judge.Finding;
import cypressvalve.judge.Judge;
import cypressvalve.load.Ids;
import cypressvalve.load.Importer;
import cypressvalve.load.make.SourceMaker;
import cypressvalve.load.map.Mapping;
import cypressvalve.load.replay.Names;
import cypressvalve.load.replay.Plan;
import cypressvalve.load.replay.Replay;
import cypressvalve.load.replay.StagedReplay;
import cypressvalve.load.trace.TraceEdit;
import cypressvalve.standin.Player;
import cypressvalve.standin.PlayerRoom;
import cypressvalve.tape.Tape;
import cypressvalve.trouble.DayScript;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.HdrHistogram.Histogram;

/**
 * By hand, through bench/flood: one gateway under a trace multiplied 1, 2, 4 and 8 times over its fleet's room, with
 * the gate and without it. Refused viewers come again as the model says, most in the second they were told.
 */
final class FloodBench {
    private static final long SECOND = 1_000_000_000L;
    private static final String DAY = """
        day: {name: flood, seed: 3, length: 20s}
        gateways: {count: 1}
        hosts: {count: 8, link: 400, link-spread: 0, cores: 8, queue: 400, work: 2ms, vary: 0}
        titles: {recorded: 40, live: 4, copies: 3, length: 600s}
        viewers: {rate: 0, length: 10s, plans: {recorded: 1}, returns: 0.95, retries: 8, honour: 0.9, come-least: 500ms,
                  come-most: 1500ms}
        service:
          segment: 2s
          ladder: [4, 8, 16]
          revenue: [0.3, 0.6, 1]
          join: 0.3
          tenants: [{name: north, share: 0.5}, {name: south, share: 0.5}]
          plans:
            - {name: recorded, startup: 1s, abandon: 3s}
            - {name: recorded-plus, startup: 1s, abandon: 3s}
            - {name: live, startup: 1s, abandon: 3s, live: true}
          fleet: {cells: 8, link: 400, kinds: [{name: std, places: 80}]}
          reports: {via: answers, note-period: 2s, note-delay: 200ms}
        """;

    private FloodBench() {
    }

    public static void main(String[] args) throws Exception {
        double rate = args.length > 0 ? Double.parseDouble(args[0]) : 60;
        System.setProperty("cypressvalve.log.level", "ERROR");
        Doc doc = Doc.parse("flood", DAY);
        DayScript day = DayScript.read(doc);
        doc.verify();
        Path directory = Files.createTempDirectory("flood");
        Path log = directory.resolve("log");
        SourceMaker.make(log, "apache", day.service(), 5, 20 * SECOND, rate, Integer.MAX_VALUE, 10 * SECOND,
            SourceMaker.Faults.NONE);
        String map = SourceMaker.mapping("apache");
        Doc mapDoc = Doc.parse("map", map);
        Path once = directory.resolve("1");
        new Importer(Mapping.read(mapDoc), map, Ids.plain(), "hash").run(Map.of("", List.of(log)), once, false, s -> { });
        Gate.Limits none = new Gate.Limits(Integer.MAX_VALUE / 2, Long.MAX_VALUE / 2);
        System.out.println("gate  times  asks  asks/s  answered  served  rejected  other  refused  reject ms p50/p99/most"
            + "  loop late ms p50/p99/most  stalled share  heap MB  driver late p99 ms  rules broken");
        Path warm = directory.resolve("warm");
        TraceEdit.multiply(once, warm, 4, 7);
        run(day, warm, 4, Gate.Limits.DEFAULT, true); // Warms up; not shown.
        for (int times : args.length > 1 ? java.util.Arrays.stream(args).skip(1).mapToInt(Integer::parseInt).toArray()
            : new int[] {1, 2, 4, 8}) {
            Path trace = directory.resolve("x" + times);
            TraceEdit.multiply(once, trace, times, 7);
            run(day, trace, times, none, false);
            run(day, trace, times, Gate.Limits.DEFAULT, false);
        }
        try (var left = Files.list(directory)) {
            for (Path file : left.toList()) {
                Files.delete(file);
            }
        }
        Files.delete(directory);
        System.exit(0);
    }

    private static void run(DayScript of, Path trace, int times, Gate.Limits gate, boolean warmUp) throws Exception {
        Names names = Names.of(trace, Map.of(), of.service());
        DayScript day = of.withService(names.with(3, 600 * SECOND)).withTroubles(List.of());
        GatewaySettings.Limits d = GatewaySettings.Limits.DEFAULT;
        Judge judge = new Judge();
        Histogram rejects = new Histogram(120 * SECOND, 3);
        Histogram late = new Histogram(120 * SECOND, 3);
        AtomicLong asks = new AtomicLong();
        AtomicLong served = new AtomicLong();
        AtomicLong rejected = new AtomicLong();
        AtomicLong other = new AtomicLong();
        AtomicLong played = new AtomicLong();
        AtomicLong stalled = new AtomicLong();
        Tape tape = Tape.heard();
        tape.also(judge::accept);
        tape.also(r -> {
            if (r.is("player", "ask")) {
                asks.incrementAndGet();
            } else if (r.is("player", "answer")) {
                switch ((int) r.whole("status")) {
                    case 200 -> served.incrementAndGet();
                    case 503 -> {
                        rejected.incrementAndGet();
                        rejects.recordValue(Math.min(120 * SECOND, r.whole("took")));
                    }
                    default -> other.incrementAndGet();
                }
            } else if (r.is("player", "segment")) {
                played.addAndGet(of.service().segment());
                stalled.addAndGet(r.whole("late"));
            }
        });
        String line;
        try (PlayerRoom room = new PlayerRoom(); Stage stage = new Stage(day, tape, null, new GatewaySettings.Limits(
            d.sessions(), d.connections(), d.headerBytes(), d.headers(), d.parameters(), d.requestTimeout(),
            d.idleTimeout(), gate))) {
            stage.startGateways();
            Player.World world = new Player.World(room.http(), room.timers(), tape, () -> 0, stage::gatewayUri,
                new Random(4), StagedReplay.habits(day.viewers(), Plan.Retries.MODEL), day.service().segment());
            tape.put("rehearsal", "begins");
            Thread looks = new Thread(() -> {
                try {
                    while (true) {
                        long asked = System.nanoTime();
                        stage.gateway(0).onLoop(() -> late.recordValue(Math.min(120 * SECOND,
                            System.nanoTime() - asked)));
                        TimeUnit.MILLISECONDS.sleep(10);
                    }
                } catch (InterruptedException | NullPointerException e) {
                    Thread.currentThread().interrupt();
                }
            });
            looks.setDaemon(true);
            looks.start();
            long began = System.nanoTime();
            Replay.Result result = new Replay(trace, new Plan(1, 0, 3600 * SECOND, 0, 1,
                Plan.Retries.MODEL, 100_000, 10 * SECOND, false), names, day.service(), world).run(progress -> { });
            double seconds = (System.nanoTime() - began) / (double) SECOND;
            looks.interrupt();
            String scraped = stage.gateway(0).metrics().scrape();
            double refused = scraped.lines().filter(l -> l.startsWith("cypressvalve_admission_refused_total"))
                .mapToDouble(l -> Double.parseDouble(l.substring(l.lastIndexOf(' ') + 1))).sum();
            System.gc();
            long heap = Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory() >> 20;
            line = String.format(Locale.ROOT, "%-4s  %5d  %5d  %6.0f  %8.3f  %6d  %8d  %5d  %7.0f  %.1f/%.1f/%.1f  "
                + "%.2f/%.2f/%.2f  %.4f  %d  %.1f", gate == Gate.Limits.DEFAULT ? "yes" : "no", times,
                asks.get(), asks.get() / seconds, (served.get() + rejected.get() + other.get())
                    / (double) Math.max(1, asks.get()), served.get(), rejected.get(), other.get(), refused,
                rejects.getValueAtPercentile(50) / 1e6, rejects.getValueAtPercentile(99) / 1e6,
                rejects.getMaxValue() / 1e6, late.getValueAtPercentile(50) / 1e6,
                late.getValueAtPercentile(99) / 1e6, late.getMaxValue() / 1e6,
                stalled.get() / (double) Math.max(1, played.get() + stalled.get()), heap,
                result.late().getValueAtPercentile(99) / 1e6);
        }
        // The tape is whole once nobody writes it any more.
        Map<Integer, List<Finding>> findings;
        synchronized (tape) {
            findings = judge.finish();
        }
        if (!warmUp) {
            System.out.println(line + "  " + findings.entrySet().stream().filter(f -> !f.getValue().isEmpty())
                .map(f -> f.getKey() + " (" + f.getValue().size() + ": " + f.getValue().get(0).what() + ")").toList());
        }
    }
}
