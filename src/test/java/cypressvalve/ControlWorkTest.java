package cypressvalve;

import static org.junit.jupiter.api.Assertions.assertTrue;

import cypressvalve.model.MediaHost;
import cypressvalve.model.Plan;
import cypressvalve.model.Playback;
import cypressvalve.model.Settings;
import cypressvalve.model.Title;
import cypressvalve.model.Verdict;
import java.lang.management.ManagementFactory;
import java.lang.reflect.Proxy;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** What one event costs while thousands are held against while hundreds are. */
@Timeout(60)
class ControlWorkTest {
    private static final long MILLISECOND = 1_000_000;
    private static final int HELD = 10_000;
    private static final int PIECE = 500;
    /** Work that grows with what is held would cost some twenty to four hundred times as much. */
    private static final double MOST_GROWTH = 8;
    /** Below this a figure is noise: processor time in nanoseconds of one event. */
    private static final double NOISE = 50_000;

    private final Settings settings = new Settings();
    private final MediaHost host = new MediaHost(1);
    private final Title title = new Title("event");
    private final List<Playback> held = new ArrayList<>();
    private final Control control;
    private long now = 1_000_000 * MILLISECOND;

    ControlWorkTest() {
        settings.ladder = new double[] {200, 400, 800, 1600};
        settings.rungRevenue = new double[] {0.25, 0.5, 0.75, 1};
        settings.joinShare = 0.3;
        settings.mostTries = 3;
        settings.mayProbe = true;
        settings.reportsOnProbe = true;
        Plan plan = new Plan();
        plan.startupTarget = 1000 * MILLISECOND;
        plan.rates = settings.ladder.clone();
        plan.live = true;
        settings.plans.add(plan);
        host.link = 1e6;
        title.heldBy(0, 1);
        control = new Control(settings, 7, now, (Gateway) Proxy.newProxyInstance(Gateway.class.getClassLoader(), new Class<?>[] {Gateway.class},
            (proxy, method, arguments) -> null));
        control.at(now);
        control.listed(List.of(host), true);
        control.settle();
    }

    private void handOver() {
        Playback playback = new Playback("p" + held.size());
        playback.plan = settings.plans.get(0);
        playback.title = title;
        playback.ceiling = 3;
        playback.hint = 40_000 * MILLISECOND;
        held.add(playback);
        control.at(now);
        control.handedOver(playback, host);
        control.settle();
    }

    private void end() {
        control.at(now);
        control.cameBack(held.remove(0).lastTry(), Verdict.OK, true, Double.NaN, Double.NaN);
        control.settle();
    }

    /** Processor time of one event, in nanoseconds. */
    private double costOf(Runnable event) {
        long begun = ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime();
        for (int i = 0; i < PIECE; i++) {
            now += MILLISECOND / 10;
            event.run();
        }
        return (ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime() - begun) / (double) PIECE;
    }

    private static void assertGrowsLittle(String what, double few, double many) {
        assertTrue(many <= MOST_GROWTH * Math.max(few, NOISE), what + ": " + few + " ns where few are held, " + many + " ns where many are");
    }

    /** Guards against work for each session of a live title that grows with those that share it, and keeps the loop for seconds. */
    @Test
    void aHandOverAndAnEndCostAboutTheSameHoweverManyAreHeld() {
        double firstHandOver = costOf(this::handOver);
        double firstEnd = costOf(this::end);
        double lastHandOver = 0;
        while (held.size() < HELD) {
            lastHandOver = costOf(this::handOver);
        }
        double lastEnd = costOf(this::end);
        assertGrowsLittle("hand-over", firstHandOver, lastHandOver);
        assertGrowsLittle("end", firstEnd, lastEnd);
    }
}
