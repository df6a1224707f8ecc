package cypressvalve.load.report;

import cypressvalve.planner.Fluid;
import cypressvalve.planner.Forecast;
import cypressvalve.planner.Relief;
import cypressvalve.planner.ReturnPlan;
import cypressvalve.planner.Shortage;
import cypressvalve.rehearsal.Timeline;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.function.ToDoubleFunction;

/**
 * The planner's answer for people who decide what is bought: one paragraph of answer, then figures with ranges, the day's
 * course, what was assumed. One file, no network needed.
 */
public final class PlanPage {
    private final Page page;

    /** @param question what was asked */
    public PlanPage(String question) {
        page = new Page(question);
    }

    /** The answer in a sentence or two. */
    public PlanPage answer(String words) {
        page.raw("<p style=\"font-size:1.3em\">" + Page.text(words) + "</p>\n");
        return this;
    }

    /** Any table, its first row the head. */
    public PlanPage table(List<String[]> rows) {
        page.table(rows);
        return this;
    }

    /** Simulated figures with their ranges. */
    public PlanPage forecast(Forecast f) {
        page.heading("Simulated").table(List.of(new String[] {"figure", "mean", "95 percent range"},
            row("service (startup met times delivered)", f.service()), row("startup met", f.startup()),
            row("delivered share", f.delivered()), row("mean rung", f.rung())));
        return this;
    }

    private static String[] row(String name, Forecast.Range r) {
        return new String[] {name, number(r.mean()), number(r.mean() - r.half()) + " to " + number(r.mean() + r.half())};
    }

    private static String number(double value) {
        return String.format(Locale.ROOT, "%.3f", value);
    }

    /** What the estimate says of each resource. */
    public PlanPage uses(Fluid.Estimate e) {
        List<String[]> rows = new ArrayList<>();
        rows.add(new String[] {"resource", "use at the lowest rung", "at the highest", "bears viewers", "which"});
        e.uses().forEach(u -> rows.add(new String[] {u.resource().name().toLowerCase(Locale.ROOT).replace('_', ' '),
            number(u.low()), number(u.high()), number(u.until()) + " times", u.which()}));
        page.heading("Estimated by means").table(rows);
        return this;
    }

    /** What more of each thing brings. */
    public PlanPage gains(Shortage shortage, List<Relief> reliefs) {
        List<String[]> rows = new ArrayList<>();
        rows.add(new String[] {"more of", "that is", "service", "rung", "short first"});
        shortage.ranked().forEach(g -> rows.add(new String[] {g.relief(), reliefs.stream()
            .filter(r -> r.name().equals(g.relief())).map(Relief::what).findFirst().orElse(""),
            String.format(Locale.ROOT, "%+.4f ± %.4f", g.service(), g.serviceHalf()),
            String.format(Locale.ROOT, "%+.3f ± %.3f", g.rung(), g.rungHalf()),
            shortage.first().contains(g.relief()) ? "yes" : ""}));
        page.heading("What more brings").table(rows);
        return this;
    }

    /** The order of return. */
    public PlanPage starts(ReturnPlan back) {
        List<String[]> rows = new ArrayList<>();
        rows.add(new String[] {"host", "seconds after the loss", "why then"});
        back.starts().forEach(s -> rows.add(new String[] {"" + s.host(), String.format(Locale.ROOT, "%.1f", s.at()),
            s.why()}));
        if (rows.size() > 1) {
            page.heading("Order of return").table(rows);
        }
        return this;
    }

    /**
     * A day's course.
     *
     * @param spans from and to of what is laid over it, seconds
     */
    public PlanPage course(String name, List<Timeline.Window> windows, List<double[]> spans) {
        List<Plots.Span> over = spans.stream().map(s -> new Plots.Span("lost", s[0], s[1])).toList();
        try {
            page.heading(name).raw(Plots.img("Service by second of first asking", "seconds", "share", List.of(
                line("startup met", windows, Timeline.Window::startupMet),
                line("delivered", windows, Timeline.Window::delivered)), over, false));
            page.raw(Plots.img("Mean rung played", "seconds", "rung", List.of(line("rung", windows,
                Timeline.Window::rung)), List.of(), false));
            page.raw(Plots.img("Set-ups and refusals, all runs", "seconds", "a second", List.of(
                line("first asks", windows, Timeline.Window::first), line("set-ups", windows, Timeline.Window::setups),
                line("of them further tries", windows, Timeline.Window::further),
                line("rejected", windows, Timeline.Window::rejected)), List.of(), false));
        } catch (IOException e) {
            throw new java.io.UncheckedIOException(e);
        }
        return this;
    }

    private static Plots.Line line(String name, List<Timeline.Window> windows, ToDoubleFunction<Timeline.Window> of) {
        return new Plots.Line(name, windows.stream().mapToDouble(Timeline.Window::from).toArray(),
            windows.stream().mapToDouble(of).toArray());
    }

    /** What the answer takes for granted. */
    public PlanPage assumptions(List<String> all) {
        page.heading("Assumed").raw("<ul>" + String.join("", all.stream().map(a -> "<li>" + Page.text(a) + "</li>")
            .toList()) + "</ul>\n");
        return this;
    }

    /** Writes the page. */
    public void write(Path to) throws IOException {
        page.write(to);
    }
}
