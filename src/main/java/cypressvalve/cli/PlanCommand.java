package cypressvalve.cli;

import com.fasterxml.jackson.databind.ObjectMapper;
import cypressvalve.config.Doc;
import cypressvalve.lab.Comparison;
import cypressvalve.lab.DayText;
import cypressvalve.lab.Experiment;
import cypressvalve.lab.Policy;
import cypressvalve.lab.RunResult;
import cypressvalve.lab.Runner;
import cypressvalve.lab.Trials;
import cypressvalve.load.replay.Names;
import cypressvalve.load.replay.TraceCrowd;
import cypressvalve.load.report.PlanPage;
import cypressvalve.planner.Demand;
import cypressvalve.planner.Fleet;
import cypressvalve.planner.Fluid;
import cypressvalve.planner.Forecast;
import cypressvalve.planner.Goal;
import cypressvalve.planner.Growth;
import cypressvalve.planner.LeastHosts;
import cypressvalve.planner.Loss;
import cypressvalve.planner.LossCase;
import cypressvalve.planner.Recovery;
import cypressvalve.planner.Relief;
import cypressvalve.planner.ReturnPlan;
import cypressvalve.planner.Shortage;
import cypressvalve.rehearsal.Timeline;
import cypressvalve.trouble.Crowd;
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
    subcommands = {PlanCommand.Bottleneck.class, PlanCommand.Capacity.class, PlanCommand.Lost.class,
        PlanCommand.Grows.class, PlanCommand.Check.class})
final class PlanCommand implements Runnable {
    @Spec
    private CommandSpec spec;

    @Override
    public void run() {
        throw new ParameterException(spec.commandLine(), "a command is needed: bottleneck, capacity, loss, growth or check");
    }

    /** What all questions but capacity have in common: the day, a trace, runs, and how the answer is given. */
    abstract static class Question implements Callable<Integer> {
        @Parameters(paramLabel = "DAY", description = "the fleet, its titles and plans, as a day's script (YAML)")
        Path day;

        @Option(names = "--trace", paramLabel = "TRACE", description = "viewers of this trace in place of the day's")
        Path trace;

        @Option(names = "--seeds", defaultValue = "6", paramLabel = "N",
            description = "runs in simulated time of each case; 0 for estimates only (default ${DEFAULT-VALUE})")
        int seeds;

        @Option(names = "--json", description = "the answer as JSON")
        boolean json;

        @Option(names = "--report", paramLabel = "FILE", description = "write a report with plots (HTML)")
        Path report;

        @Spec
        CommandSpec spec;

        String text;
        DayScript script;
        Fleet fleet;
        Demand demand;
        private Names names;
        private long span;

        abstract void check();

        abstract Answer answer() throws IOException;

        /** What is told: lines for people, the same as JSON, and a page. */
        record Answer(List<String> lines, Map<String, Object> facts, PlanPage page, boolean fine) { }

        @Override
        public final Integer call() throws IOException {
            if (seeds < 0 || seeds == 1) {
                throw new ParameterException(spec.commandLine(), "--seeds: expected 0, or 2 or more");
            }
            check();
            Scripts.quietLogs();
            text = Files.readString(day);
            script = Scripts.read(Doc.parse(day.toString(), text));
            if (trace == null) {
                demand = Fleet.demand(script);
            } else {
                names = Scripts.names(trace, Map.of(), script);
                span = TraceCrowd.span(trace);
                script = fit(script);
                demand = Scripts.demand(trace, names);
            }
            fleet = Fleet.of(script);
            Answer answer = answer();
            PrintWriter out = spec.commandLine().getOut();
            if (json) {
                out.println(new ObjectMapper().writerWithDefaultPrettyPrinter().writeValueAsString(answer.facts));
            } else {
                answer.lines.forEach(out::println);
            }
            out.flush();
            if (report != null) {
                answer.page.write(report);
            }
            return answer.fine ? 0 : 1;
        }

        private DayScript fit(DayScript read) {
            return trace == null ? read : read.withLength(Math.max(read.length(), span))
                .withService(names.with(read.titles().copies(), read.titles().length()));
        }

        Trials trials(long from) {
            PrintWriter err = spec.commandLine().getErr();
            return new Trials(text, from, seeds, this::fit, this::crowd, (done, all) -> {
                err.print((System.console() == null ? "" : "\r") + done + " of " + all + " runs"
                    + (System.console() == null || done.equals(all) ? System.lineSeparator() : ""));
                err.flush();
            });
        }

        private List<Crowd.Coming> crowd(DayScript of) {
            try {
                return trace == null ? Crowd.of(of) : TraceCrowd.of(trace, names, of.service());
            } catch (IOException e) {
                throw new java.io.UncheckedIOException(e);
            }
        }

        List<String> assumptions() {
            return Forecast.assumptions(trace != null, seeds > 0);
        }

        Forecast forecast(List<Trials.Run> runs, Shortage shortage) {
            return new Forecast(Trials.range(runs, "service"), Trials.range(runs, "startupMet"),
                Trials.range(runs, "delivered"), Trials.range(runs, "rung"), Fluid.of(fleet, demand), shortage,
                assumptions());
        }

        static String shown(Forecast.Range r) {
            return String.format(Locale.ROOT, "%.3f ± %.3f", r.mean(), r.half());
        }

        static Map<String, Object> facts(Forecast.Range r) {
            return Map.of("mean", r.mean(), "half", r.half());
        }

        static String word(Fluid.Use use) {
            return use.resource().name().toLowerCase(Locale.ROOT).replace('_', '-');
        }

        static String word(Fluid.Estimate e) {
            return word(e.first()) + (e.first().which().isEmpty() ? "" : " (" + e.first().which() + ")");
        }

        /** Rules broken in runs are told first: such figures are of no use. */
        static int broken(List<Trials.Run> runs) {
            return runs.stream().mapToInt(Trials.Run::broken).sum();
        }
    }

    /** What runs out first. */
    @Command(name = "bottleneck", mixinStandardHelpOptions = true,
        description = "Ranks what runs out as viewers grow, by blocking formulas and by what more of each thing brings.")
    static final class Bottleneck extends Question {
        @Option(names = "--times", defaultValue = "1", paramLabel = "N", description = "so many times as many viewers")
        private double times;

        @Override
        void check() {
            if (!(times > 0 && times <= 1000)) {
                throw new ParameterException(spec.commandLine(), "--times: expected a number over 0, up to 1000");
            }
            if (trace != null && times != 1 && seeds > 0) {
                throw new ParameterException(spec.commandLine(),
                    "--times with --trace: expected --seeds 0, or a trace made larger by load multiply");
            }
        }

        @Override
        Answer answer() {
            Demand wanted = demand.times(times);
            Fluid.Estimate e = Fluid.of(fleet, wanted);
            List<String> lines = new ArrayList<>();
            Map<String, Object> facts = new LinkedHashMap<>();
            facts.put("playing", wanted.count());
            facts.put("arrivals", wanted.arrivals());
            facts.put("hosts", fleet.hosts());
            facts.put("blocked", e.blocked());
            facts.put("rungShare", e.rungShare());
            facts.put("uses", e.uses().stream().map(u -> Map.of("resource", word(u), "low", u.low(), "high", u.high(),
                "until", Double.isFinite(u.until()) ? u.until() : -1, "which", u.which())).toList());
            lines.add(String.format(Locale.ROOT, "estimated: %.0f playbacks at once, %.2f requests a second, %d media hosts",
                wanted.count(), wanted.arrivals(), fleet.hosts()));
            lines.add(String.format(Locale.ROOT, "turned away %.4f of requests; %.0f percent of the way from the lowest to "
                + "the highest rungs fits", e.blocked(), e.rungShare() * 100));
            lines.add(String.format("%-14s %12s %12s %14s  %s", "resource", "lowest rung", "highest", "bears viewers",
                "which"));
            e.uses().forEach(u -> lines.add(String.format(Locale.ROOT, "%-14s %12.3f %12.3f %12.2f x  %s", word(u),
                u.low(), u.high(), u.until(), u.which())));
            lines.add("first to run out, estimated: " + word(e));
            PlanPage page = new PlanPage("What runs out first");
            if (seeds == 0) {
                page.answer("First to run out, estimated: " + word(e) + ".").uses(e).assumptions(assumptions());
                return new Answer(lines, facts, page, true);
            }
            Map<String, String> grown = new Growth(times, Double.NaN, 0, 1).settings(script);
            Trials trials = trials(1);
            List<Relief> reliefs = Relief.all(script);
            trials.expect(seeds * (1 + reliefs.size()));
            Map<String, String> base = times == 1 ? Map.of() : grown;
            List<Trials.Run> runs = trials.runs("as it is", base, null);
            List<Shortage.Gain> gains = trials.gains(runs, reliefs.stream().map(r -> {
                Map<String, String> both = new LinkedHashMap<>(base);
                both.putAll(r.settings());
                return new Relief(r.name(), r.what(), both);
            }).toList());
            Shortage shortage = Shortage.of(Trials.range(runs, "service").mean(), gains);
            Forecast f = forecast(runs, shortage);
            lines.add("");
            lines.add("simulated, " + seeds + " seeds: service " + shown(f.service()) + ", startup met "
                + shown(f.startup()) + ", delivered " + shown(f.delivered()) + ", mean rung " + shown(f.rung())
                + ", rules broken " + broken(runs));
            lines.add("what more brings, in " + (shortage.by() == Shortage.Figure.SERVICE ? "service"
                : "rungs, as service is whole or nothing adds to it"));
            lines.addAll(gainLines(shortage, reliefs));
            String first = shortage.first().isEmpty() ? "nothing for sure" : String.join(" or ", shortage.first());
            lines.add("first to run out, simulated: " + first);
            String parted = parted(e, shortage);
            if (!parted.isEmpty()) {
                lines.add(parted);
            }
            facts.put("service", facts(f.service()));
            facts.put("startupMet", facts(f.startup()));
            facts.put("delivered", facts(f.delivered()));
            facts.put("rung", facts(f.rung()));
            facts.put("rulesBroken", broken(runs));
            facts.put("first", shortage.first());
            facts.put("gains", shortage.ranked());
            page.answer("First to run out: " + first + " (simulated); " + word(e) + " (estimated). " + parted)
                .forecast(f).uses(e).gains(shortage, reliefs).course("The day as it is", Trials.together(runs), List.of())
                .assumptions(f.assumptions());
            return new Answer(lines, facts, page, broken(runs) == 0);
        }

        static List<String> gainLines(Shortage shortage, List<Relief> reliefs) {
            List<String> lines = new ArrayList<>();
            for (Shortage.Gain g : shortage.ranked()) {
                lines.add(String.format(Locale.ROOT, "  %-12s service %+.4f ± %.4f, rung %+.3f ± %.3f  %s", g.relief(),
                    g.service(), g.serviceHalf(), g.rung(), g.rungHalf(), reliefs.stream()
                        .filter(r -> r.name().equals(g.relief())).map(Relief::what).findFirst().orElse("")));
            }
            return lines;
        }

        /** Why estimate and runs part, if they do. */
        private static String parted(Fluid.Estimate e, Shortage shortage) {
            String estimated = Shortage.relieves(e.first().resource());
            return shortage.first().isEmpty() || shortage.first().contains(estimated) ? ""
                : "They part: the estimate knows means only; runs know late reports, redirects, troubles and how a crowd "
                    + "comes, and rank by what more of a thing brings now, not by what runs out as viewers grow.";
        }
    }

    /** What a loss does. */
    @Command(name = "loss", mixinStandardHelpOptions = true,
        description = "What losing a zone, a rack, a part of the hosts or gateways, or the list does, cold return included.")
    static final class Lost extends Question {
        @Option(names = "--zone", arity = "0..1", fallbackValue = "-1", paramLabel = "N",
            description = "a zone with its gateways; the one whose loss leaves least if no number is given")
        private Integer zone;

        @Option(names = "--rack", arity = "0..1", fallbackValue = "-1", paramLabel = "N", description = "a rack's hosts")
        private Integer rack;

        @Option(names = "--part", paramLabel = "SHARE", description = "a part of the hosts")
        private Double part;

        @Option(names = "--gateways", paramLabel = "SHARE", description = "a part of the gateways")
        private Double gateways;

        @Option(names = "--list", description = "the list of media hosts falls silent, and hosts crash meanwhile with --part")
        private boolean list;

        @Option(names = "--for", defaultValue = "8", paramLabel = "S",
            description = "seconds until the first comes back (default ${DEFAULT-VALUE})")
        private double away;

        @Option(names = "--every", defaultValue = "0", paramLabel = "S",
            description = "seconds between two hosts' starts; 0: all at once (default)")
        private double every;

        @Option(names = "--day", paramLabel = "FILE", description = "write the day with this loss and return as a script")
        private Path out;

        @Override
        void check() {
            int named = (zone != null ? 1 : 0) + (rack != null ? 1 : 0) + (gateways != null ? 1 : 0)
                + (part != null && !list ? 1 : 0) + (list ? 1 : 0);
            if (named != 1) {
                throw new ParameterException(spec.commandLine(),
                    "expected one of --zone, --rack, --part, --gateways, --list (with --part if hosts crash meanwhile)");
            }
            if (part != null && !(part > 0 && part < 1) || gateways != null && !(gateways > 0 && gateways <= 1)) {
                throw new ParameterException(spec.commandLine(), "--part, --gateways: expected a share over 0, under 1");
            }
            if (!(away > 0 && away <= 3600 && every >= 0 && every <= 3600)) {
                throw new ParameterException(spec.commandLine(), "--for, --every: expected seconds, up to 3600");
            }
            if (seeds == 0) {
                throw new ParameterException(spec.commandLine(), "--seeds: expected 2 or more, as a loss is run");
            }
        }

        @Override
        Answer answer() throws IOException {
            LossCase lost;
            try {
                lost = zone != null ? LossCase.zone(script, zone < 0 ? null : zone, demand)
                    : rack != null ? LossCase.rack(script, rack < 0 ? null : rack, demand)
                    : gateways != null ? LossCase.gateways(script, gateways)
                    : list ? LossCase.list(script, part) : LossCase.part(script, part);
            } catch (LossCase.Impossible e) {
                throw new Commands.Refusal(day + ": " + e.getMessage());
            }
            double length = script.length() / 1e9;
            ReturnPlan back = ReturnPlan.of(script, demand, lost.hosts(), away, every);
            double at = Loss.at(length, lost.longest(back, away));
            if (Double.isNaN(at)) {
                throw new Commands.Refusal(day + ": day.length: expected " + Math.ceil(Loss.needs(lost.longest(back, away)))
                    + "s or more, so that the loss, the return and as much before are seen");
            }
            List<Map<String, Object>> troubles = lost.troubles(back, at, away);
            if (out != null) {
                Files.writeString(out, DayText.troubles(text, troubles));
            }
            Trials trials = trials(1);
            trials.expect(seeds * 2);
            List<Trials.Run> without = trials.runs("without", Map.of(), List.of());
            List<Trials.Run> with = trials.runs("with the loss", Map.of(), troubles);
            List<Timeline.Window> course = Trials.together(with);
            double ends = at + lost.longest(back, away);
            Recovery seen = Recovery.of(course.stream().map(w -> new Recovery.Point(w.from(), w.service(), w.first()))
                .toList(), at, ends);
            Fluid.Estimate left = Fluid.without(fleet.gateways(fleet.gateways() - lost.gateways().size()), demand,
                lost.hosts());
            Forecast f = forecast(with, null);
            String whole = Double.isNaN(seen.wholeAt()) ? "not whole again within the day"
                : String.format(Locale.ROOT, "whole again %.0f s after the loss", seen.wholeAt() - at);
            List<String> lines = new ArrayList<>();
            lines.add("lost: " + lost.name() + ": " + lost.hosts().size() + " hosts, " + lost.gateways().size()
                + " gateways, at " + String.format(Locale.ROOT, "%.0f s", at));
            lines.add(String.format(Locale.ROOT, "estimated while it lasts: turned away %.4f of requests; first to run out: "
                + "%s, at %.2f of it with everybody at the lowest rung", left.blocked(), word(left), left.first().low()));
            lines.add(String.format(Locale.ROOT, "simulated, %d seeds: service before %.3f, at its worst second %.3f, since "
                + "it was whole or at the end %.3f; %s", seeds, seen.before(), seen.during(), seen.after(), whole));
            lines.add("the whole day: service " + shown(f.service()) + " (without the loss "
                + shown(Trials.range(without, "service")) + "), startup met " + shown(f.startup()) + ", delivered "
                + shown(f.delivered()) + ", mean rung " + shown(f.rung()) + ", rules broken " + broken(with));
            if (!back.starts().isEmpty()) {
                lines.add(String.format(Locale.ROOT, "estimated return: room for all at the lowest rung %s; it hangs on %s",
                    Double.isNaN(back.wholeAt()) ? "not within an hour" : String.format(Locale.ROOT, "%.1f s after the loss",
                        back.wholeAt()), back.delayedBy().name().toLowerCase(Locale.ROOT).replace('_', '-')));
                lines.add("order of return:");
                back.starts().forEach(s -> lines.add(String.format(Locale.ROOT, "  host %d at %.1f s: %s", s.host(), s.at(),
                    s.why())));
            }
            Map<String, Object> facts = new LinkedHashMap<>();
            facts.put("lost", lost.name());
            facts.put("hosts", lost.hosts());
            facts.put("gateways", lost.gateways());
            facts.put("at", at);
            facts.put("blockedEstimated", left.blocked());
            facts.put("before", seen.before());
            facts.put("worst", seen.during());
            facts.put("after", seen.after());
            facts.put("wholeAfter", Double.isNaN(seen.wholeAt()) ? -1 : seen.wholeAt() - at);
            facts.put("returnEstimated", Double.isNaN(back.wholeAt()) ? -1 : back.wholeAt());
            facts.put("delayedBy", back.delayedBy().name().toLowerCase(Locale.ROOT));
            facts.put("service", facts(f.service()));
            facts.put("rulesBroken", broken(with));
            facts.put("order", back.starts());
            PlanPage page = new PlanPage("Loss of " + lost.name())
                .answer(String.format(Locale.ROOT, "Service falls from %.3f to %.3f at its worst second; %s.", seen.before(),
                    seen.during(), whole)).forecast(f).uses(left)
                .course("With the loss", course, List.of(new double[] {at, ends}))
                .course("Without it", Trials.together(without), List.of()).starts(back).assumptions(f.assumptions());
            return new Answer(lines, facts, page, broken(with) == 0);
        }
    }

    /** Growth. */
    @Command(name = "growth", mixinStandardHelpOptions = true,
        description = "How service fares as viewers grow, with another mix of titles, and at an announced event.")
    static final class Grows extends Question {
        @Option(names = "--times", split = ",", defaultValue = "1,1.5,2,3", paramLabel = "N",
            description = "so many times as many viewers (default ${DEFAULT-VALUE})")
        private List<Double> times;

        @Option(names = "--zipf", paramLabel = "S", description = "how unevenly titles are wanted, in place of the day's")
        private Double zipf;

        @Option(names = "--event", paramLabel = "N", defaultValue = "0", description = "viewers of an announced event")
        private double event;

        @Option(names = "--over", paramLabel = "S", defaultValue = "10", description = "seconds in which these come")
        private double over;

        @Override
        void check() {
            if (times.stream().anyMatch(t -> !(t > 0 && t <= 1000)) || zipf != null && !(zipf >= 0 && zipf <= 3)
                || !(event >= 0 && event <= 1e6) || !(over >= 1 && over <= 3600)) {
                throw new ParameterException(spec.commandLine(), "expected --times over 0, --zipf from 0 to 3, --event of 0 or "
                    + "more, --over from 1 to 3600");
            }
            if (trace != null) {
                throw new ParameterException(spec.commandLine(),
                    "--trace: expected none; load multiply makes a trace larger, and plan bottleneck takes it");
            }
        }

        @Override
        Answer answer() {
            List<String> lines = new ArrayList<>();
            List<Map<String, Object>> rows = new ArrayList<>();
            List<String[]> table = new ArrayList<>();
            table.add(new String[] {"times", "estimated: turned away", "first to run out", "simulated: service",
                "startup met", "delivered", "mean rung", "rules broken"});
            Trials trials = trials(1);
            trials.expect(seeds * times.size());
            PlanPage page = new PlanPage("Growth of " + script.name());
            int all = 0;
            for (double by : times) {
                Growth growth = new Growth(by, zipf == null ? Double.NaN : zipf, event, over);
                DayScript grown = trials.day(growth.settings(script), null, script.seed());
                Fluid.Estimate e = Fluid.of(Fleet.of(grown),
                    new Growth(1, Double.NaN, event, over).demand(grown, Fleet.demand(grown)));
                Map<String, Object> row = new LinkedHashMap<>();
                row.put("times", by);
                row.put("blocked", e.blocked());
                row.put("first", word(e));
                String[] cells = {"" + by, String.format(Locale.ROOT, "%.4f", e.blocked()), word(e), "-", "-", "-", "-", "-"};
                if (seeds > 0) {
                    List<Map<String, Object>> troubles = new ArrayList<>(growth.troubles(script));
                    List<Trials.Run> runs = trials.runs("times " + by, growth.settings(script),
                        troubles.isEmpty() ? null : troubles);
                    Forecast f = forecast(runs, null);
                    all += broken(runs);
                    row.put("service", facts(f.service()));
                    row.put("startupMet", facts(f.startup()));
                    row.put("delivered", facts(f.delivered()));
                    row.put("rung", facts(f.rung()));
                    row.put("rulesBroken", broken(runs));
                    cells = new String[] {cells[0], cells[1], cells[2], shown(f.service()), shown(f.startup()),
                        shown(f.delivered()), shown(f.rung()), "" + broken(runs)};
                    page.course("At " + by + " times", Trials.together(runs), List.of());
                }
                rows.add(row);
                table.add(cells);
            }
            table.forEach(r -> lines.add(String.join("  ", r)));
            if (event > 0) {
                lines.add(String.format(Locale.ROOT, "with an event of %.0f viewers over %.0f s, in place of the day's own "
                    + "troubles", event, over));
            }
            page.table(table).assumptions(assumptions());
            return new Answer(lines, Map.of("growth", rows), page, all == 0);
        }
    }

    /** Forecast and stand-in run side by side. */
    @Command(name = "check", mixinStandardHelpOptions = true,
        description = "Forecasts a day and rehearses it on loopback: service within a tenth, the same thing short first.")
    static final class Check extends Question {
        @Option(names = "--from", paramLabel = "N", defaultValue = "1001",
            description = "the first seed, best one not used before (default ${DEFAULT-VALUE})")
        private long from;

        @Option(names = "--rehearsals", paramLabel = "N", defaultValue = "2",
            description = "runs on loopback of each case (default ${DEFAULT-VALUE})")
        private int rehearsals;

        @Option(names = "--reliefs", paramLabel = "N", defaultValue = "2",
            description = "how many of the things that bring most are rehearsed (default ${DEFAULT-VALUE})")
        private int tried;

        @Override
        void check() {
            if (seeds == 0 || rehearsals < 2 || tried < 0 || from < 0) {
                throw new ParameterException(spec.commandLine(),
                    "expected --seeds and --rehearsals of 2 or more, --reliefs and --from of 0 or more");
            }
            if (trace != null) {
                throw new ParameterException(spec.commandLine(), "--trace: expected none; load replay runs a trace");
            }
        }

        @Override
        Answer answer() throws IOException {
            Trials trials = trials(from);
            List<Relief> reliefs = Relief.all(script);
            trials.expect(seeds * (1 + reliefs.size()));
            List<Trials.Run> runs = trials.runs("as it is", Map.of(), null);
            Shortage forecastShort = Shortage.of(Trials.range(runs, "service").mean(), trials.gains(runs, reliefs));
            Forecast f = forecast(runs, forecastShort);
            List<Relief> ahead = forecastShort.ranked().stream().limit(tried).map(g -> reliefs.stream()
                .filter(r -> r.name().equals(g.relief())).findFirst().orElseThrow()).toList();
            PrintWriter err = spec.commandLine().getErr();
            Rehearsals there = new Rehearsals(trials, from, rehearsals, line -> {
                err.println(line);
                err.flush();
            });
            List<RunResult> ran = there.runs(Map.of());
            List<Shortage.Gain> gains = new ArrayList<>();
            for (Relief relief : ahead) {
                gains.add(Trials.gain(relief.name(), ran, there.runs(relief.settings())));
            }
            double service = ran.stream().mapToDouble(r -> r.figures().get("service")).average().orElse(0);
            Shortage thereShort = Shortage.largest(service, gains);
            boolean agrees = f.agrees(service, tried == 0 ? null : thereShort);
            int broke = ran.stream().mapToInt(r -> r.figures().get("broken").intValue()).sum();
            List<String> lines = new ArrayList<>();
            lines.add("forecast, simulated, seeds from " + from + ": service " + shown(f.service()) + ", startup met "
                + shown(f.startup()) + ", delivered " + shown(f.delivered()) + "; short first: "
                + (forecastShort.first().isEmpty() ? "nothing for sure" : String.join(" or ", forecastShort.first()))
                + "; estimated: " + word(f.estimate()));
            lines.addAll(Bottleneck.gainLines(forecastShort, reliefs));
            lines.add(String.format(Locale.ROOT, "loopback, %d runs: service %.3f, startup met %.3f, delivered %.3f; %s; rules "
                + "broken %d", rehearsals, service, mean(ran, "startupMet"), mean(ran, "delivered"), tried == 0
                    ? "nothing relieved" : "short first of those relieved: " + (thereShort.first().isEmpty() ? "nothing"
                    : String.join(" or ", thereShort.first())), broke));
            lines.addAll(Bottleneck.gainLines(thereShort, reliefs));
            lines.add(String.format(Locale.ROOT, "service apart by %+.1f percent: %s", (service / f.service().mean() - 1) * 100,
                agrees ? "forecast and run agree" : "forecast and run DO NOT AGREE"));
            Map<String, Object> facts = new LinkedHashMap<>();
            facts.put("forecast", facts(f.service()));
            facts.put("forecastFirst", forecastShort.first());
            facts.put("ran", service);
            facts.put("ranFirst", thereShort.first());
            facts.put("agrees", agrees);
            facts.put("rulesBroken", broke);
            PlanPage page = new PlanPage("Forecast and stand-in run of " + script.name())
                .answer(lines.get(lines.size() - 1)).forecast(f).gains(forecastShort, reliefs).gains(thereShort, reliefs)
                .assumptions(f.assumptions());
            return new Answer(lines, facts, page, agrees && broke == 0);
        }

        private static double mean(List<RunResult> runs, String figure) {
            return runs.stream().mapToDouble(r -> r.figures().get(figure)).average().orElse(0);
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

        @Option(names = "--json", description = "the answer as JSON")
        private boolean json;

        @Option(names = "--report", paramLabel = "FILE", description = "write a report (HTML)")
        private Path report;

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
            Map<Integer, LeastHosts.Service> services = new java.util.TreeMap<>();
            LeastHosts.Answer answer = LeastHosts.search(least, most, n -> {
                LeastHosts.Service service = service(script.name(), base, n, goal);
                services.put(n, service);
                err.printf(Locale.ROOT, "%d hosts: %.4f of the goal, by ± %.4f%n", n, service.mean(), service.half());
                err.flush();
                return service;
            }, 1);
            PrintWriter out = spec.commandLine().getOut();
            String asked = String.format(Locale.ROOT, "simulated, %d seeds for each number of hosts; goal: startup met %.3f, "
                + "delivered share %.3f%s", seeds, startup, delivered, lose == null ? "" : ", also while " + lose
                + " of the hosts are lost and come back cold");
            String found = answer.sure() == 0 ? "no number up to " + most + " meets the goal for sure; "
                + (answer.tried().get(most) == LeastHosts.Verdict.OPEN ? most + " may: more seeds would tell"
                    : "hosts may not be what is short: see plan bottleneck")
                : "least number of hosts: " + (answer.least() == answer.sure() ? "" + answer.sure()
                    : answer.least() + " to " + answer.sure() + "; " + answer.sure() + " is sure");
            if (json) {
                Map<String, Object> facts = new LinkedHashMap<>();
                facts.put("startup", startup);
                facts.put("delivered", delivered);
                facts.put("lost", lose == null ? 0 : lose);
                facts.put("least", answer.sure() == 0 ? 0 : answer.least());
                facts.put("sure", answer.sure());
                facts.put("tried", answer.tried().keySet().stream().map(n -> Map.of("hosts", n, "verdict",
                    answer.tried().get(n).name().toLowerCase(Locale.ROOT), "reached", services.get(n).mean(), "half",
                    services.get(n).half())).toList());
                out.println(new ObjectMapper().writerWithDefaultPrettyPrinter().writeValueAsString(facts));
            } else {
                out.println(asked);
                answer.tried().forEach((n, verdict) -> out.println("  " + n + " hosts: "
                    + verdict.name().toLowerCase(Locale.ROOT)));
                out.println(found);
            }
            out.flush();
            if (report != null) {
                List<String[]> rows = new ArrayList<>();
                rows.add(new String[] {"hosts", "verdict", "part of the goal reached"});
                answer.tried().forEach((n, verdict) -> rows.add(new String[] {"" + n,
                    verdict.name().toLowerCase(Locale.ROOT), String.format(Locale.ROOT, "%.4f ± %.4f",
                        services.get(n).mean(), services.get(n).half())}));
                new PlanPage("How many media hosts " + script.name() + " needs").answer(found + ".").table(rows)
                    .assumptions(java.util.stream.Stream.concat(java.util.stream.Stream.of(asked,
                        "cells are as many as hosts, so titles lie elsewhere at each number"),
                        Forecast.assumptions(false, true).stream()).toList()).write(report);
            }
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
