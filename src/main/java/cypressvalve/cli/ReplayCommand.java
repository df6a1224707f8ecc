package cypressvalve.cli;

import cypressvalve.judge.Finding;
import cypressvalve.load.replay.Match;
import cypressvalve.load.replay.Names;
import cypressvalve.load.replay.Plan;
import cypressvalve.load.replay.Replay;
import cypressvalve.load.replay.StagedReplay;
import cypressvalve.load.report.RunFacts;
import cypressvalve.load.report.RunPage;
import cypressvalve.standin.Player;
import cypressvalve.standin.PlayerRoom;
import cypressvalve.tape.Tape;
import cypressvalve.trouble.DayScript;
import java.io.IOException;
import java.io.PrintWriter;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** A trace played against gateways. */
@Command(name = "replay", mixinStandardHelpOptions = true, description = "Drives gateways with a trace, each request at "
    + "its time whatever answers do: a day's own fleet on loopback, or gateways that run already.")
final class ReplayCommand implements Callable<Integer> {
    @Parameters(paramLabel = "TRACE", description = "a trace as load import writes it")
    private Path trace;

    @Option(names = "--day", paramLabel = "DAY",
        description = "fleet, gateways and troubles by this script (YAML); left out, without --gateway: the built-in day")
    private Path day;

    @Option(names = "--gateway", paramLabel = "URI", description = "a gateway that runs; give each its own")
    private List<URI> gateways = new ArrayList<>();

    @Option(names = "--no-troubles", description = "leave the day's troubles out")
    private boolean calm;

    @Option(names = "--speed", defaultValue = "1", paramLabel = "N", description = "so much faster than it was")
    private double speed;

    @Option(names = "--from", defaultValue = "0s", paramLabel = "TIME", description = "begin there in the trace")
    private String from;

    @Option(names = "--for", defaultValue = "8760h", paramLabel = "TIME", description = "so much of it")
    private String length;

    @Option(names = "--share", defaultValue = "1/1", paramLabel = "I/N",
        description = "drive the I-th of N parts; N drivers share a trace without overlap")
    private String share;

    @Option(names = "--retries", defaultValue = "source", paramLabel = "WHO",
        description = "further tries as the source had them, as the day's model has them, or none (source, model, none)")
    private String retries;

    @Option(names = "--connections", defaultValue = "5000", paramLabel = "N",
        description = "viewers driven at once at most (default ${DEFAULT-VALUE})")
    private int connections;

    @Option(names = "--late-bound", defaultValue = "50ms", paramLabel = "TIME",
        description = "the driver's own lateness at p99 that makes a run void (default ${DEFAULT-VALUE})")
    private String lateBound;

    @Option(names = "--headless", description = "viewers whose request is not in the trace ask when first seen")
    private boolean headless;

    @Option(names = "--plan", paramLabel = "TRACE=SERVICE", description = "a plan's name in the service")
    private Map<String, String> plans = Map.of();

    @Option(names = "--tape", paramLabel = "FILE", description = "keep the tape in this file")
    private Path tape;

    @Option(names = "--access-logs", paramLabel = "DIR", description = "gateways and media hosts write access logs there")
    private Path accessLogs;

    @Option(names = "--report", paramLabel = "FILE", description = "write a report with plots (HTML)")
    private Path report;

    @Option(names = "--histograms", paramLabel = "FILE", description = "write startup times by second (HdrHistogram log)")
    private Path histograms;

    @Spec
    private CommandSpec spec;

    @Override
    public Integer call() throws IOException, InterruptedException {
        Scripts.quietLogs();
        Plan plan = plan();
        DayScript script = Scripts.day(day);
        if (calm) {
            script = script.withTroubles(List.of());
        }
        Names names = Scripts.names(trace, plans, script);
        if (accessLogs != null) {
            Files.createDirectories(accessLogs);
        }
        boolean scratch = tape == null && (report != null || histograms != null);
        Path kept = scratch ? Files.createTempFile("cypressvalve-tape", ".jsonl") : tape;
        try {
            return run(plan, script, names, kept);
        } finally {
            if (scratch) {
                Files.deleteIfExists(kept);
            }
        }
    }

    private int run(Plan plan, DayScript script, Names names, Path kept) throws IOException, InterruptedException {
        PrintWriter out = spec.commandLine().getOut();
        List<String> remarks = new ArrayList<>();
        boolean fine;
        try (Tape to = kept == null ? Tape.heard() : Tape.file(kept)) {
            if (gateways.isEmpty()) {
                StagedReplay staged = new StagedReplay(script, trace, plan, names, to, accessLogs);
                Replay.Result result = staged.play(this::progress);
                out.println();
                Match.Outcome match = staged.match();
                remarks.add(staged.summary().text());
                remarks.add(result.text());
                remarks.add(match != null ? match.text()
                    : "not matched with the source: troubles or the model's retries make other requests");
                remarks.forEach(out::println);
                Map<Integer, List<Finding>> findings = staged.findings();
                fine = RehearseCommand.print(out, findings) && !result.isVoid();
                findings.forEach((rule, found) -> remarks.add("rule " + rule + ": "
                    + (found.isEmpty() ? "kept" : "BROKEN " + found.size() + " times")));
            } else {
                Replay.Result result = against(plan, script, names, to);
                out.println();
                remarks.add(result.text());
                out.println(result.text());
                fine = !result.isVoid();
            }
        }
        if (report != null || histograms != null) {
            RunFacts facts = RunFacts.read(kept);
            if (report != null) {
                RunPage.write(report, List.of(facts), remarks);
            }
            if (histograms != null) {
                facts.histograms(histograms);
            }
        }
        out.flush();
        return fine ? 0 : 1;
    }

    private Replay.Result against(Plan plan, DayScript script, Names names, Tape to)
        throws IOException, InterruptedException {
        RandomGenerator chance = RandomGeneratorFactory.of("L64X128MixRandom").create(script.seed() + plan.share());
        Plan.Targets targets = new Plan.Targets(gateways);
        try (PlayerRoom room = new PlayerRoom()) {
            Player.World world = new Player.World(room.http(), room.timers(), to, () -> {
                synchronized (chance) {
                    return chance.nextInt(gateways.size());
                }
            }, targets::uri, chance, StagedReplay.habits(script.viewers(), plan.retries()), script.service().segment());
            return new Replay(trace, plan, names, script.service(), world).run(this::progress);
        }
    }

    private void progress(String line) {
        spec.commandLine().getOut().print(System.console() == null ? line + System.lineSeparator() : "\r" + line);
        spec.commandLine().getOut().flush();
    }

    private Plan plan() {
        if (!(speed >= 0.001 && speed <= 1000)) {
            throw wrong("--speed: expected a number from 0.001 to 1000");
        }
        if (!share.matches("[1-9][0-9]{0,3}/[1-9][0-9]{0,3}")) {
            throw wrong("--share: expected a part such as 1/3, not '" + share + "'");
        }
        int part = Integer.parseInt(share.substring(0, share.indexOf('/')));
        int of = Integer.parseInt(share.substring(share.indexOf('/') + 1));
        if (part > of) {
            throw wrong("--share: expected a part from 1 to " + of);
        }
        if (!retries.matches("source|model|none")) {
            throw wrong("--retries: expected source, model or none, not '" + retries + "'");
        }
        if (connections < 1) {
            throw wrong("--connections: expected 1 or more");
        }
        if (!gateways.isEmpty() && accessLogs != null) {
            throw wrong("--access-logs: gateways that run already write their own");
        }
        return new Plan(speed, LoadCommand.time(spec, "--from", from), LoadCommand.time(spec, "--for", length), part - 1, of,
            Plan.Retries.valueOf(retries.toUpperCase(Locale.ROOT)), connections,
            LoadCommand.time(spec, "--late-bound", lateBound), headless);
    }

    private ParameterException wrong(String why) {
        return new ParameterException(spec.commandLine(), why);
    }
}
