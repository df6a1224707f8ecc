package cypressvalve.load.replay;

import cypressvalve.config.Service;
import cypressvalve.load.sessions.Played;
import cypressvalve.load.trace.TraceReader;
import cypressvalve.standin.Player;
import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import org.HdrHistogram.Histogram;

/**
 * Drives gateways with a trace, open loop: each request leaves when it is due, whatever became of those before it.
 * Measures its own lateness; one that was late beyond its bound proves nothing about the gateways.
 */
public final class Replay {
    private static final long SECOND = 1_000_000_000L;
    /** How far ahead of their time playbacks are read: well over a pause of the driver's own. */
    private static final long AHEAD = 2 * SECOND;
    private static final long LONGEST = 60 * SECOND;

    private final Path trace;
    private final Plan plan;
    private final Names names;
    private final Service service;
    private final Player.World world;
    private final Histogram lateness = new Histogram(LONGEST, 3);
    private final AtomicLong sent = new AtomicLong();
    private final AtomicLong notSent = new AtomicLong();
    private final Map<Player, Boolean> active = new ConcurrentHashMap<>();

    /** @param world whose habits retry by themselves only where the plan says so */
    public Replay(Path trace, Plan plan, Names names, Service service, Player.World world) {
        this.trace = trace;
        this.plan = plan;
        this.names = names;
        this.service = service;
        this.world = world;
    }

    /**
     * What a run came to.
     *
     * @param late how late requests left, nanoseconds
     * @param stood part of the time for which stand-in media hosts stood still, 0 where none are in this process
     */
    public record Result(long sent, long notSent, Histogram late, long lateBound, double stood) {
        /**
         * Beyond this part the machine, not the gateway, decided what hosts did: between the 4 percent of half a minute
         * that begins with the machine's own warm-up, and two thirds where hosts sent more than the machine could.
         */
        private static final double MOST_STOOD = 0.1;

        /** The same with what was seen of stand-ins. */
        Result stood(double part) {
            return new Result(sent, notSent, late, lateBound, part);
        }

        /** Whether the driver was slow or short of connections, or hosts stood still, so that the run shows nothing. */
        public boolean isVoid() {
            return notSent > 0 || stood > MOST_STOOD || late.getTotalCount() > 0 && late.getValueAtPercentile(99) > lateBound;
        }

        /** One line about it. */
        public String text() {
            return String.format(Locale.ROOT, "sent %d, not sent %d; driver late ms p50 %.1f p99 %.1f most %.1f (bound"
                + " at p99 %.0f)%s", sent, notSent, late.getValueAtPercentile(50) / 1e6,
                late.getValueAtPercentile(99) / 1e6, late.getMaxValue() / 1e6, lateBound / 1e6,
                (stood > 0 ? String.format(Locale.ROOT, "; media hosts stood still for %.2f percent of the time",
                    stood * 100) : "") + (isVoid() ? "; VOID: the machine could not keep up" : ""));
        }
    }

    /**
     * Replays to the end and until the last viewer has had its time.
     *
     * @param progress told each second
     */
    public Result run(Consumer<String> progress) throws IOException, InterruptedException {
        long began = System.nanoTime();
        long told = began;
        long last = 0;
        try (TraceReader in = TraceReader.open(trace)) {
            world.tape().put("replay", "begins", "from", in.header().getBegins() + plan.from(), "speed", plan.speed(),
                "share", plan.share(), "of", plan.of(), "retries", plan.retries().name().toLowerCase(Locale.ROOT));
            // After the record, so that nothing arrives before it was due by the tape's clock.
            began = System.nanoTime();
            Schedule schedule = new Schedule(plan, in.header().getBegins());
            for (Played p = in.next(); p != null && !schedule.past(p); p = in.next()) {
                List<Schedule.Due> due = schedule.of(p);
                if (due.isEmpty()) {
                    continue;
                }
                Player player = new Player(world, TraceCrowd.viewer(p, schedule.length(p), names, service));
                for (Schedule.Due d : due) {
                    long at = began + d.at();
                    last = Math.max(last, d.at() + schedule.length(p));
                    world.timers().schedule(() -> leave(player, at), at - System.nanoTime(), TimeUnit.NANOSECONDS);
                }
                while (began + due.get(0).at() - System.nanoTime() > AHEAD) {
                    told = tell(began, told, progress);
                    TimeUnit.MILLISECONDS.sleep(100);
                }
            }
        }
        long patience = service.plans().values().stream().mapToLong(Service.PlanRow::abandon).max().orElse(0);
        while (System.nanoTime() < began + last + patience) {
            told = tell(began, told, progress);
            TimeUnit.MILLISECONDS.sleep(100);
        }
        world.tape().put("replay", "ends", "sent", sent.get(), "notSent", notSent.get(), "lateP99",
            lateness.getValueAtPercentile(99));
        return new Result(sent.get(), notSent.get(), lateness.copy(), plan.lateBound(), 0);
    }

    private void leave(Player player, long due) {
        synchronized (lateness) {
            lateness.recordValue(Math.max(0, Math.min(LONGEST, System.nanoTime() - due)));
        }
        if (active.size() >= plan.connections()) {
            active.keySet().removeIf(Player::over);
        }
        if (active.size() >= plan.connections() && !active.containsKey(player)) {
            notSent.incrementAndGet();
            return;
        }
        active.put(player, true);
        sent.incrementAndGet();
        player.ask();
    }

    private long tell(long began, long told, Consumer<String> progress) {
        long now = System.nanoTime();
        if (now - told < SECOND) {
            return told;
        }
        active.keySet().removeIf(Player::over);
        long p99;
        synchronized (lateness) {
            p99 = lateness.getValueAtPercentile(99);
        }
        progress.accept(String.format(Locale.ROOT, "%4d s  sent %d  viewers %d  driver late p99 %.1f ms",
            (now - began) / SECOND, sent.get(), active.size(), p99 / 1e6));
        return now;
    }
}
