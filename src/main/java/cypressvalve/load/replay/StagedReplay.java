package cypressvalve.load.replay;

import cypressvalve.judge.Finding;
import cypressvalve.judge.Judge;
import cypressvalve.load.sessions.Played;
import cypressvalve.load.trace.TraceReader;
import cypressvalve.rehearsal.Stage;
import cypressvalve.rehearsal.StageStruck;
import cypressvalve.rehearsal.Summary;
import cypressvalve.standin.Player;
import cypressvalve.standin.PlayerRoom;
import cypressvalve.tape.Tape;
import cypressvalve.tape.TapeRecord;
import cypressvalve.trouble.DayScript;
import cypressvalve.trouble.TroublePlayer;
import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;

/** A trace for viewers, a day's script for fleet and troubles: a recorded morning on a fleet that fails. */
public final class StagedReplay {
    private final DayScript day;
    private final Path trace;
    private final Plan plan;
    private final Names names;
    private final Tape tape;
    private final Path accessLogs;
    private final Judge judge = new Judge();
    private final Summary summary = new Summary();
    private final Match match;
    private long stood;

    /** @param accessLogs a directory for the access logs, null for none */
    public StagedReplay(DayScript day, Path trace, Plan plan, Names names, Tape tape, Path accessLogs)
        throws IOException {
        this.day = day.withService(names.with(day.titles().copies(), day.titles().length()));
        this.trace = trace;
        this.plan = plan;
        this.names = names;
        this.tape = tape;
        this.accessLogs = accessLogs;
        tape.also(judge::accept);
        tape.also(summary::accept);
        try (TraceReader in = TraceReader.open(trace)) {
            match = new Match(new Schedule(plan, in.header().getBegins()), names, plan.speed());
            for (Played p = in.next(); p != null; p = in.next()) {
                match.source(p);
            }
        }
        tape.also(this::matched);
    }

    private void matched(TapeRecord r) {
        if (r.is("replay", "begins")) {
            match.began(r.t());
        } else if (r.is("host", "stalled")) {
            stood += r.whole("nanos");
        } else if (r.is("host", "setup") && r.text("try").equals("0")) {
            match.arrived(r.text("title"), r.text("plan"), r.t());
        }
    }

    /** Replays; returns what the driver came to. */
    public Replay.Result play(Consumer<String> progress) throws IOException, InterruptedException {
        ScheduledExecutorService troubles = Executors.newSingleThreadScheduledExecutor(PlayerRoom.daemon("troubles"));
        try (PlayerRoom room = new PlayerRoom(); Stage stage = new Stage(day, tape, accessLogs)) {
            stage.startGateways();
            RandomGenerator chance = RandomGeneratorFactory.of("L64X128MixRandom").create(day.seed());
            Player.World world = new Player.World(room.http(), room.timers(), tape, () -> {
                synchronized (chance) {
                    return chance.nextInt(day.gateways().count());
                }
            }, stage::gatewayUri, chance, habits(day.viewers(), plan.retries()), day.service().segment());
            tape.put("rehearsal", "begins");
            new TroublePlayer(day, new StageStruck(stage), (nanos, task) -> troubles.schedule(task, nanos,
                TimeUnit.NANOSECONDS), tape).play();
            long began = tape.now();
            Replay.Result result = new Replay(trace, plan, names, day.service(), world).run(progress);
            double hostTime = (double) Math.max(1, tape.now() - began) * day.hosts().count();
            tape.put("rehearsal", "ends");
            if (stage.failure() != null) {
                throw new IllegalStateException("a gateway's decisions failed", stage.failure());
            }
            return result.stood(stood / hostTime);
        } finally {
            troubles.shutdownNow();
        }
    }

    /** Viewers of the model come again by themselves; others only as the trace says. */
    public static Player.Habits habits(DayScript.Viewers v, Plan.Retries retries) {
        boolean model = retries == Plan.Retries.MODEL;
        return new Player.Habits(model ? v.returns() : 0, v.comeLeast(), v.comeMost(), v.honour(), v.buffer(),
            v.starve(), v.silent(), model ? v.retries() : 0);
    }

    /** The six rules, by the tape. */
    public Map<Integer, List<Finding>> findings() {
        return judge.finish();
    }

    /** What it came to for viewers. */
    public Summary summary() {
        return summary;
    }

    /**
     * Whether what arrived is what the source had; null where it can't be, as troubles or the model's retries make other
     * requests than the source's.
     */
    public Match.Outcome match() {
        return day.troubles().isEmpty() && plan.retries() != Plan.Retries.MODEL ? match.outcome() : null;
    }
}
