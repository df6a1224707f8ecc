package cypressvalve.bench;

import cypressvalve.Control;
import cypressvalve.Gateway;
import cypressvalve.model.MediaHost;
import cypressvalve.model.Plan;
import cypressvalve.model.Playback;
import cypressvalve.model.Settings;
import cypressvalve.model.SetupTry;
import cypressvalve.model.Title;
import cypressvalve.model.Verdict;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;

/** What one new playback costs in Control, with its end, while so many others play; a ratio between the two sizes. */
@State(Scope.Benchmark)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
@Warmup(iterations = 4, time = 2)
@Measurement(iterations = 5, time = 2)
@Fork(1)
public class PlacementBench implements Gateway {
    private static final long MS = 1_000_000;

    /** Playbacks held. */
    @Param({"100", "10000"})
    public int held;

    /** Media hosts, whose links grow with what is held so that both sizes are as full. */
    @Param({"60"})
    public int hosts;

    private final Settings settings = new Settings();
    private final List<Title> titles = new ArrayList<>();
    private final ArrayDeque<Playback> playing = new ArrayDeque<>();
    private Control control;
    private long now = 1_000_000 * MS;
    private int number;
    private int untilTold;

    /** Fills the gateway. */
    @Setup
    public void fill() {
        settings.ladder = new double[] {200, 400, 800, 1600};
        settings.rungRevenue = new double[] {0.25, 0.5, 0.75, 1};
        settings.cells = hosts;
        settings.racks = Math.max(1, hosts / 10);
        settings.joinShare = 0.3;
        settings.noteDelay = 500 * MS;
        settings.notePeriod = 3000 * MS;
        settings.mostTries = 3;
        settings.gateways = 4;
        for (int i = 0; i < 3; i++) {
            Plan plan = new Plan();
            plan.startupTarget = 1000 * MS;
            plan.rates = settings.ladder.clone();
            plan.live = i == 2;
            plan.seats = i == 1 ? held : 0;
            settings.plans.add(plan);
        }
        control = new Control(settings, 7, now, this);
        List<MediaHost> all = new ArrayList<>();
        for (int i = 0; i < hosts; i++) {
            MediaHost host = new MediaHost(i);
            host.cell = i;
            host.link = 1200.0 * held / hosts;
            host.places = held;
            all.add(host);
        }
        control.at(now);
        control.listed(all, true);
        control.settle();
        for (int i = 0; i < 400; i++) {
            Title title = new Title("t" + i);
            title.heldBy(i * 7 % hosts, 4);
            titles.add(title);
        }
        while (playing.size() < held) {
            begin();
        }
    }

    private void begin() {
        now += MS;
        Playback pb = new Playback("p" + number);
        pb.plan = settings.plans.get(number % 3);
        pb.title = titles.get((int) (number * 2654435761L % titles.size()));
        number++;
        pb.ceiling = 3;
        pb.arrivedAt = now;
        pb.abandonAt = now + 3000 * MS;
        pb.hint = 40_000 * MS;
        control.at(now);
        control.requested(pb);
        control.settle();
        SetupTry setupTry = pb.lastTry();
        if (setupTry == null) {
            return;
        }
        now += MS;
        control.at(now);
        control.started(setupTry);
        control.settle();
        if (untilTold-- <= 0) {
            untilTold = 4;
            double asked = setupTry.host.own.newest() / setupTry.host.link;
            control.loadTold(setupTry, asked * 1.05, Double.NaN);
            control.settle();
        }
        playing.add(pb);
    }

    /** One comes, the oldest goes. */
    @Benchmark
    public void onePlayback() {
        begin();
        if (playing.size() > held) {
            Playback oldest = playing.poll();
            control.at(now);
            control.cameBack(oldest.lastTry(), Verdict.OK, true, Double.NaN, Double.NaN);
            control.settle();
        }
    }

    @Override
    public void setUp(Playback playback, MediaHost host, long maxWait) { }

    @Override
    public void setRung(Playback playback, int rung) { }

    @Override
    public void reject(Playback playback, long comeBackIn) { }

    @Override
    public void fail(Playback playback) { }

    @Override
    public void withdraw(SetupTry setupTry) { }

    @Override
    public void move(Playback playback) { }

    @Override
    public void probe(MediaHost host) { }

    @Override
    public void release(MediaHost host) { }

    @Override
    public void wakeAt(long time) { }

    @Override
    public void tell(int gateway, byte[] data) { }

    @Override
    public void followList(boolean on) { }

    @Override
    public void fetchList() { }

    @Override
    public void log(String line) { }
}
