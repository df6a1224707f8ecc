package cypressvalve.cli;

import cypressvalve.soak.HostilePlan;
import cypressvalve.soak.SoakTrial;
import cypressvalve.soak.StandstillPlan;
import cypressvalve.soak.StandstillTrial;
import cypressvalve.soak.TrialPlan;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** Dense seeded trials of a handful of real gateway processes. */
@Command(name = "soak", mixinStandardHelpOptions = true,
    description = "Plays seeded trials of real gateways under faults and judges what sockets carried; exit 1 if a rule broke.")
final class SoakCommand implements Callable<Integer> {
    private static final Pattern RANGE = Pattern.compile("([0-9]{1,18})(?:-([0-9]{1,18}))?");

    @Option(names = "--seeds", paramLabel = "FROM-TO", defaultValue = "1-4",
        description = "one seed or a range (default ${DEFAULT-VALUE})")
    private String seeds;

    @Option(names = "--hostile", description = "with clients that hold connections or send at full speed")
    private boolean hostile;

    @Option(names = "--long", description = "45 s a trial, with hosts that stand still for 7.4 to 23 s and hostile clients")
    private boolean lasting;

    @Option(names = "--standstill", description = "hundreds of sessions at media hosts that are processes, stopped and continued")
    private boolean standstill;

    @Option(names = "--crowded", description = "with --standstill: larger crowds, mostly on part of a core, and hosts that take connections late or reset new ones")
    private boolean crowded;

    @Option(names = "--strict-hosts", description = "with --standstill: hosts count a release as said again though the connection had been reset")
    private boolean strictHosts;

    @Option(names = "--restarts", description = "media hosts as with --standstill, whose processes die and listen again soon")
    private boolean restarts;

    @Spec
    private CommandSpec spec;

    @Override
    public Integer call() throws IOException, InterruptedException {
        Matcher range = RANGE.matcher(seeds);
        if (!range.matches()) {
            throw new Commands.Refusal("--seeds: expected a number or FROM-TO, not " + seeds);
        }
        long from = Long.parseLong(range.group(1));
        long to = range.group(2) == null ? from : Long.parseLong(range.group(2));
        if (standstill || restarts) {
            return playStandstills(from, to);
        }
        int broken = 0;
        int uncounted = 0;
        for (long seed = from; seed <= to; seed++) {
            SoakTrial.Outcome outcome = play(seed);
            uncounted += outcome.counts() ? 0 : 1;
            broken += outcome.counts() && !outcome.violations().isEmpty() ? 1 : 0;
        }
        out().println((to - from + 1 - broken - uncounted) + " passed, " + broken + " failed, " + uncounted
            + " do not count, as the emulators were too late");
        out().flush();
        return broken + uncounted == 0 ? 0 : 1;
    }

    private int playStandstills(long from, long to) throws IOException, InterruptedException {
        int broken = 0;
        for (long seed = from; seed <= to; seed++) {
            Path dir = Files.createTempDirectory("soak");
            try {
                StandstillTrial.Outcome outcome = StandstillTrial.run(standstillPlan(seed), dir);
                List<String> violations = outcome.violations();
                broken += violations.isEmpty() ? 0 : 1;
                out().println("seed " + seed + ": " + outcome.served() + " of " + outcome.requests() + " served, " + outcome.ends() + " ends, "
                    + (violations.isEmpty() ? "all told in time" : violations.size() + " not told in time") + "; "
                    + outcome.endedAtRestarted() + " sessions of processes that died and were followed, " + outcome.endedInVain() + " ended in vain; " + outcome.plan().descriptors()
                    + " descriptors, " + outcome.plan().streams() + " set-ups a connection, hosts may " + (outcome.plan().mayTestHosts() ? "" : "not ") + "be tested, "
                    + outcome.plan().killed().size() + " die; crowds of "
                    + outcome.plan().crowd() + " on " + outcome.plan().corePercent() + "% of a core, " + outcome.plan().habits() + ", " + outcome.plan().restarts() + "; "
                    + outcome.closes());
                violations.forEach(out()::println);
                if (!violations.isEmpty()) {
                    outcome.counts().forEach(out()::println);
                }
                out().flush();
            } finally {
                delete(dir);
            }
        }
        out().println((to - from + 1 - broken) + " passed, " + broken + " failed");
        out().flush();
        return broken == 0 ? 0 : 1;
    }

    private StandstillPlan standstillPlan(long seed) {
        if (restarts) {
            return StandstillPlan.drawRestarts(seed);
        }
        StandstillPlan plan = crowded ? StandstillPlan.drawCrowded(seed) : StandstillPlan.draw(seed);
        return strictHosts ? plan.withStrictHosts() : plan;
    }

    private static void delete(Path dir) throws IOException {
        try (Stream<Path> files = Files.walk(dir)) {
            files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
        }
    }

    private PrintWriter out() {
        return spec.commandLine().getOut();
    }

    private SoakTrial.Outcome play(long seed) throws IOException, InterruptedException {
        Path dir = Files.createTempDirectory("soak");
        try {
            TrialPlan plan = hostile || lasting ? TrialPlan.draw(seed).onAHandful() : TrialPlan.draw(seed);
            HostilePlan beside = lasting ? HostilePlan.drawLong(plan) : hostile ? HostilePlan.drawShort(plan) : HostilePlan.NONE;
            SoakTrial.Outcome outcome = SoakTrial.run(plan, beside, dir);
            List<String> violations = outcome.violations();
            out().println("seed " + seed + ": " + outcome.served() + " of " + outcome.requests() + " served, " + outcome.ends() + " ends, "
                + (violations.isEmpty() ? "rules kept" : violations.size() + " violations") + "; "
                + outcome.plan().gateways() + " gateways, " + outcome.lateness() + (outcome.counts() ? "; " : ", does not count; ")
                + outcome.plan().faults().stream().map(f -> f.kind() + "@" + f.atMillis()).toList());
            violations.forEach(out()::println);
            out().flush();
            return outcome;
        } finally {
            delete(dir);
        }
    }
}
