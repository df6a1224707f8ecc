package cypressvalve.cli;

import com.fasterxml.jackson.databind.ObjectMapper;
import cypressvalve.config.Doc;
import cypressvalve.lab.Comparison;
import cypressvalve.lab.DayText;
import cypressvalve.lab.Experiment;
import cypressvalve.lab.Policy;
import cypressvalve.lab.RunResult;
import cypressvalve.lab.Runner;
import cypressvalve.load.replay.Names;
import cypressvalve.load.sessions.Played;
import cypressvalve.load.trace.TraceReader;
import cypressvalve.planner.Demand;
import cypressvalve.planner.Fleet;
import cypressvalve.planner.Fluid;
import cypressvalve.planner.Goal;
import cypressvalve.planner.LeastHosts;
import cypressvalve.planner.Loss;
import cypressvalve.trouble.DayScript;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** The capacity planner. */
@Command(name = "plan", mixinStandardHelpOptions = true, description = "What runs out first, and how many hosts are needed.",
    subcommands = {PlanCommand.Bottleneck.class, PlanCommand.Capacity.class})
final class PlanCommand implements Runnable {
    @Spec
    private CommandSpec spec;

    @Override
    public void run() {
        throw new ParameterException(spec.commandLine(), "a command is needed: bottleneck or capacity");
    }

    /** What runs out first. */
    @Command(name = "bottleneck", mixinStandardHelpOptions = true,
        description = "Ranks what runs out as viewers grow, by means and blocking formulas; no run is made.")
    static final class Bottleneck implements Callable<Integer> {
        @Parameters(paramLabel = "DAY", description = "the fleet, its titles and plans, as a day's script (YAML)")
        private Path day;

        @Option(names = "--trace", paramLabel = "TRACE", description = "what is wanted, by this trace's worst moment")
        private Path trace;

        @Option(names = "--times", defaultValue = "1", paramLabel = "N", description = "so many times as many viewers")
        private double times;

        @Option(names = "--json", description = "as JSON")
        private boolean json;

        @Spec
        private CommandSpec spec;

        @Override
        public Integer call() throws IOException {
            if (!(times > 0 && times <= 1000)) {
                throw new ParameterException(spec.commandLine(), "--times: expected a number over 0, up to 1000");
            }
            DayScript script = Scripts.day(day);
            Fleet fleet = Fleet.of(script);
            Demand demand;
            if (trace == null) {
                demand = Fleet.demand(script);
            } else {
                Names names = Scripts.names(trace, Map.of(), script);
                Demand.Gatherer gatherer = new Demand.Gatherer();
                try (TraceReader in = TraceReader.open(trace)) {
                    for (Played p = in.next(); p != null; p = in.next()) {
                        gatherer.add(p.at(), p.length(), names.title(p), names.plan(p));
                    }
                }
                fleet = Fleet.of(script.withService(names.with(script.titles().copies(), script.titles().length())));
                try {
                    demand = gatherer.worst();
                } catch (Demand.Unsupported e) {
                    throw new Commands.Refusal(trace + ": " + e.getMessage());
                }
            }
            print(fleet, demand.times(times));
            return 0;
        }

        private void print(Fleet fleet, Demand demand) throws IOException {
            Fluid.Estimate e = Fluid.of(fleet, demand);
            PrintWriter out = spec.commandLine().getOut();
            if (json) {
                Map<String, Object> all = new LinkedHashMap<>();
                all.put("playing", demand.count());
                all.put("arrivals", demand.arrivals());
                all.put("hosts", fleet.hosts());
                all.put("blocked", e.blocked());
                all.put("rungShare", e.rungShare());
                all.put("uses", e.uses().stream().map(u -> Map.of("resource", word(u), "low", u.low(), "high", u.high(),
                    "until", Double.isFinite(u.until()) ? u.until() : -1, "which", u.which())).toList());
                out.println(new ObjectMapper().writerWithDefaultPrettyPrinter().writeValueAsString(all));
            } else {
                out.printf(Locale.ROOT, "estimated: %.0f playbacks at once, %.2f requests a second, %d media hosts%n",
                    demand.count(), demand.arrivals(), fleet.hosts());
                out.printf(Locale.ROOT, "turned away %.4f of requests; %.0f percent of the way from the lowest to the "
                    + "highest rungs fits%n", e.blocked(), e.rungShare() * 100);
                out.printf("%-12s %12s %12s %14s  %s%n", "resource", "lowest rung", "highest", "bears viewers", "which");
                e.uses().forEach(u -> out.printf(Locale.ROOT, "%-12s %12.3f %12.3f %12.2f x  %s%n", word(u), u.low(),
                    u.high(), u.until(), u.which()));
                out.println("first to run out: " + word(e.first()) + (e.first().which().isEmpty() ? ""
                    : " (" + e.first().which() + ")"));
            }
            out.flush();
        }

        private static String word(Fluid.Use use) {
            return use.resource().name().toLowerCase(Locale.ROOT).replace('_', '-');
        }
    }

    /** How many hosts. */
    @Command(name = "capacity", mixinStandardHelpOptions = true,
        description = "Searches the least number of media hosts that meets a goal, by runs in simulated time.")
    static final class Capacity implements Callable<Integer> {
        @Parameters(paramLabel = "DAY", description = "a day's script (YAML); its hosts and cells are varied")
        private Path day;

        @Option(names = "--startup", defaultValue = "0.99", paramLabel = "SHARE",
            description = "viewers who start within their target (default ${DEFAULT-VALUE})")
        private double startup;

        @Option(names = "--delivered", defaultValue = "0.98", paramLabel = "SHARE",
            description = "played time over played and stalled time (default ${DEFAULT-VALUE})")
        private double delivered;

        @Option(names = "--lose", paramLabel = "PART",
            description = "this part of the hosts crashes in mid-day and comes back cold, in place of the day's troubles")
        private Double lose;

        @Option(names = "--most", defaultValue = "60", paramLabel = "N", description = "hosts at most (default ${DEFAULT-VALUE})")
        private int most;

        @Option(names = "--seeds", defaultValue = "6", paramLabel = "N",
            description = "runs for each number of hosts (default ${DEFAULT-VALUE})")
        private int seeds;

        @Spec
        private CommandSpec spec;

        @Override
        public Integer call() throws IOException {
            if (!(startup > 0 && startup <= 1 && delivered > 0 && delivered <= 1)) {
                throw new ParameterException(spec.commandLine(), "--startup, --delivered: expected shares over 0, up to 1");
            }
            if (seeds < 2 || most < 1 || lose != null && !(lose > 0 && lose < 1)) {
                throw new ParameterException(spec.commandLine(),
                    "expected --seeds of 2 or more, --most of 1 or more, --lose between 0 and 1");
            }
            Scripts.quietLogs();
            String text = Files.readString(day);
            DayScript script = Scripts.read(Doc.parse(day.toString(), text));
            int least = Math.max(script.service().fleet().racks(), script.titles().copies());
            if (most < least) {
                throw new Commands.Refusal("--most: expected " + least + " or more, as the day has so many racks or copies");
            }
            String base = lose == null ? text
                : DayText.troubles(text, List.of(new Loss(lose).trouble(script.length())));
            Goal goal = new Goal(startup, delivered);
            PrintWriter err = spec.commandLine().getErr();
            LeastHosts.Answer answer = LeastHosts.search(least, most, n -> {
                LeastHosts.Service service = service(script.name(), base, n, goal);
                err.printf(Locale.ROOT, "%d hosts: %.4f of the goal, by ± %.4f%n", n, service.mean(), service.half());
                err.flush();
                return service;
            }, 1);
            PrintWriter out = spec.commandLine().getOut();
            out.printf(Locale.ROOT, "simulated, %d seeds for each number of hosts; goal: startup met %.3f, delivered share "
                + "%.3f%s%n", seeds, startup, delivered, lose == null ? "" : ", also while " + lose
                + " of the hosts are lost and come back cold");
            answer.tried().forEach((n, verdict) -> out.println("  " + n + " hosts: "
                + verdict.name().toLowerCase(Locale.ROOT)));
            if (answer.sure() == 0) {
                out.println("no number up to " + most + " meets the goal for sure; " + (answer.tried().get(most)
                    == LeastHosts.Verdict.OPEN ? most + " may: more seeds would tell" : "hosts may not be what is short: see "
                    + "plan bottleneck"));
            } else {
                out.println("least number of hosts: " + (answer.least() == answer.sure() ? "" + answer.sure()
                    : answer.least() + " to " + answer.sure() + "; " + answer.sure() + " is sure"));
            }
            out.flush();
            return answer.sure() == 0 ? 1 : 0;
        }

        private LeastHosts.Service service(String name, String text, int hosts, Goal goal) {
            List<String> faults = new ArrayList<>();
            Experiment.Cell cell = new Experiment.Cell(name, Policy.CONTROL, Map.of("hosts", "" + hosts),
                DayText.with(text, Map.of("hosts.count", "" + hosts, "service.fleet.cells", "" + hosts), faults));
            List<RunResult> results = new ArrayList<>();
            for (RunResult r : Runner.all(cell, 1, seeds)) {
                results.add(new RunResult(r.cell(), r.seed(), Map.of("goal",
                    goal.reached(r.figures().get("startupMet"), r.figures().get("delivered")))));
            }
            Comparison.Mean mean = new Comparison(results).mean(cell.name(), "goal");
            return new LeastHosts.Service(mean.mean(), mean.half());
        }
    }
}
