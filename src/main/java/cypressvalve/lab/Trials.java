package cypressvalve.lab;

import cypressvalve.config.Doc;
import cypressvalve.planner.Forecast;
import cypressvalve.planner.Relief;
import cypressvalve.planner.Shortage;
import cypressvalve.rehearsal.Timeline;
import cypressvalve.trouble.Crowd;
import cypressvalve.trouble.DayScript;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;
import java.util.function.UnaryOperator;
import java.util.stream.IntStream;

/**
 * Runs of a day and of what the planner changes in it, on all cores, the same seeds for each, so that the same crowds
 * and troubles meet all. Results come in a fixed order whatever order runs end in.
 */
public final class Trials {
    private static final long SECOND = 1_000_000_000L;

    /** One run: its figures, its course, and how many findings there were against rules. */
    public record Run(RunResult result, List<Timeline.Window> windows, int broken) { }

    private final String text;
    private final long from;
    private final int seeds;
    private final UnaryOperator<DayScript> fit;
    private final java.util.function.Function<DayScript, List<Crowd.Coming>> crowd;
    private final BiConsumer<Integer, Integer> progress;
    private int done;
    private int all;

    /**
     * @param text of the day's script
     * @param from the first seed
     * @param fit puts a trace's titles and length into a day that was read; left as it is without one
     * @param crowd who comes when
     * @param progress told runs done and all that are known to come
     */
    public Trials(String text, long from, int seeds, UnaryOperator<DayScript> fit,
        java.util.function.Function<DayScript, List<Crowd.Coming>> crowd, BiConsumer<Integer, Integer> progress) {
        this.text = text;
        this.from = from;
        this.seeds = seeds;
        this.fit = fit;
        this.crowd = crowd;
        this.progress = progress;
    }

    /** Says how many runs are to come, for the progress. */
    public void expect(int runs) {
        all += runs;
    }

    /** The day with settings and troubles in place of its own; null leaves the troubles. */
    public DayScript day(Map<String, String> settings, List<? extends Map<String, ?>> troubles, long seed) {
        List<String> faults = new ArrayList<>();
        String with = DayText.with(text, settings, faults);
        if (!faults.isEmpty()) {
            throw new cypressvalve.config.BadSettings(faults);
        }
        Doc doc = Doc.parse("planned day", troubles == null ? with : DayText.troubles(with, troubles));
        DayScript day = DayScript.read(doc);
        doc.verify();
        return fit.apply(day.withSeed(seed));
    }

    /** All seeds of one variant. */
    public List<Run> runs(String name, Map<String, String> settings, List<? extends Map<String, ?>> troubles) {
        return IntStream.range(0, seeds).parallel().mapToObj(i -> {
            Run run = run(name, day(settings, troubles, from + i));
            synchronized (this) {
                progress.accept(++done, Math.max(all, done));
            }
            return run;
        }).toList();
    }

    private Run run(String name, DayScript day) {
        long began = System.nanoTime();
        Timeline timeline = new Timeline();
        Lab lab = new Lab(day, Policy.CONTROL, crowd.apply(day));
        lab.early().forEach(timeline::accept);
        lab.tape().also(timeline::accept);
        var findings = lab.play(share -> { });
        RunResult result = RunResult.of(name, day.seed(), lab.summary(), findings, lab.departures(), lab.events(),
            (System.nanoTime() - began) / 1e9);
        return new Run(result, timeline.windows(1, day.length() / (double) SECOND),
            findings.values().stream().mapToInt(List::size).sum());
    }

    /** A figure's mean and range over runs. */
    public static Forecast.Range range(List<Run> runs, String figure) {
        Comparison.Mean mean = new Comparison(runs.stream().map(Run::result).toList())
            .mean(runs.get(0).result().cell(), figure);
        return new Forecast.Range(mean.mean(), Double.isNaN(mean.half()) ? 0 : mean.half());
    }

    /** What each relief brings beside the base's runs, by pairs of seeds. */
    public List<Shortage.Gain> gains(List<Run> base, List<Relief> reliefs) {
        List<Shortage.Gain> gains = new ArrayList<>();
        for (Relief relief : reliefs) {
            gains.add(gain(relief.name(), base.stream().map(Run::result).toList(),
                runs(relief.name(), relief.settings(), null).stream().map(Run::result).toList()));
        }
        return gains;
    }

    /** What runs with a relief differ by from the same seeds' without it. */
    public static Shortage.Gain gain(String relief, List<RunResult> base, List<RunResult> with) {
        List<RunResult> pair = new ArrayList<>(base);
        with.forEach(r -> pair.add(new RunResult(relief, r.seed(), r.figures())));
        Map<String, Comparison.Mean> by = new LinkedHashMap<>();
        new Comparison(pair).differences(List.of("service", "rung")).forEach(d -> by.put(d.figure(), d.mean()));
        return new Shortage.Gain(relief, by.get("service").mean(), half(by.get("service")), by.get("rung").mean(),
            half(by.get("rung")));
    }

    /** One run alone proves nothing: its interval has no end. */
    private static double half(Comparison.Mean mean) {
        return Double.isNaN(mean.half()) ? Double.POSITIVE_INFINITY : mean.half();
    }

    /** Windows of all runs put together, each second's counts added up. */
    public static List<Timeline.Window> together(List<Run> runs) {
        List<Timeline.Window> all = new ArrayList<>();
        int length = runs.stream().mapToInt(r -> r.windows().size()).min().orElse(0);
        for (int i = 0; i < length; i++) {
            long first = 0;
            double met = 0;
            double delivered = 0;
            double rung = 0;
            long breaks = 0;
            long setups = 0;
            long further = 0;
            long rejected = 0;
            for (Run run : runs) {
                Timeline.Window w = run.windows().get(i);
                first += w.first();
                met += w.first() * w.startupMet();
                delivered += w.delivered() / runs.size();
                rung += w.rung() / runs.size();
                breaks += w.breaks();
                setups += w.setups();
                further += w.further();
                rejected += w.rejected();
            }
            all.add(new Timeline.Window(runs.get(0).windows().get(i).from(), first, first == 0 ? 1 : met / first,
                delivered, rung, breaks, setups, further, rejected));
        }
        return all;
    }
}
