package cypressvalve.rehearsal;

import cypressvalve.judge.Finding;
import cypressvalve.judge.Judge;
import cypressvalve.standin.Player;
import cypressvalve.standin.PlayerRoom;
import cypressvalve.tape.Tape;
import cypressvalve.trouble.Crowd;
import cypressvalve.trouble.DayScript;
import cypressvalve.trouble.TroublePlayer;
import java.io.IOException;
import java.nio.file.Path;
import java.security.GeneralSecurityException;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;

/** A day played in real time on loopback, and what came of it. */
public final class Rehearsal {
    private static final long SECOND = 1_000_000_000L;

    private final DayScript day;
    private final Tape tape;
    private final Path accessLogs;
    private final Judge judge = new Judge();
    private final Summary summary = new Summary();

    public Rehearsal(DayScript day, Tape tape) {
        this(day, tape, null);
    }

    /** @param accessLogs the directory of the gateways' and media hosts' access logs, null for none */
    public Rehearsal(DayScript day, Tape tape, Path accessLogs) {
        this.accessLogs = accessLogs;
        this.day = day;
        this.tape = tape;
        tape.also(judge::accept);
        tape.also(summary::accept);
    }

    /**
     * Plays the day to its end and a little longer, until every request has had its time.
     *
     * @param progress told each second, with the seconds played so far
     * @return findings by rule; empty lists where the rule was kept
     */
    public Map<Integer, List<Finding>> play(Consumer<String> progress) throws IOException, InterruptedException {
        ScheduledExecutorService troubles = Executors.newSingleThreadScheduledExecutor(PlayerRoom.daemon("troubles"));
        try (PlayerRoom room = new PlayerRoom(); Stage stage = new Stage(day, tape, accessLogs)) {
            ScheduledExecutorService timers = room.timers();
            List<Crowd.Coming> crowd = Crowd.of(day);
            Map<Crowd.Coming, Map.Entry<Integer, String>> resumed = new HashMap<>();
            Random first = new Random(day.seed() * 7 + 1);
            for (Crowd.Coming c : crowd) {
                Map.Entry<Integer, String> playing = c.resumes() ? stage.adopt(c.viewer(), first) : null;
                if (playing != null) {
                    resumed.put(c, playing);
                }
            }
            stage.startGateways();
            RandomGenerator chance = RandomGeneratorFactory.of("L64X128MixRandom").create(day.seed());
            DayScript.Viewers v = day.viewers();
            Player.World world = new Player.World(room.http(), timers, tape, () -> {
                synchronized (chance) {
                    return chance.nextInt(day.gateways().count());
                }
            }, stage::gatewayUri, chance, new Player.Habits(v.returns(), v.comeLeast(), v.comeMost(), v.honour(),
                v.buffer(), v.starve(), v.silent(), v.retries()), day.service().segment());
            long began = System.nanoTime();
            tape.put("rehearsal", "begins");
            new TroublePlayer(day, new StageStruck(stage), (nanos, task) -> troubles.schedule(task, nanos,
                TimeUnit.NANOSECONDS), tape).play();
            crowd.forEach(c -> {
                Player player = new Player(world, c.viewer());
                Map.Entry<Integer, String> playing = resumed.get(c);
                if (playing != null) {
                    player.resume(playing.getKey(), playing.getValue());
                } else {
                    timers.schedule(player::start, c.at() - (System.nanoTime() - began), TimeUnit.NANOSECONDS);
                }
            });
            long longest = day.service().plans().values().stream().mapToLong(p -> p.abandon()).max().orElse(0);
            long end = day.length() + longest + SECOND;
            for (long s = 1; s * SECOND < end; s++) {
                TimeUnit.NANOSECONDS.sleep(Math.max(0, began + s * SECOND - System.nanoTime()));
                progress.accept(String.format("%3d of %d s  viewers %d  startup met %.3f  delivered %.3f", s,
                    end / SECOND, summary.viewers(), summary.startupMet(), summary.deliveredShare()));
            }
            timers.shutdownNow();
            troubles.shutdownNow();
            tape.put("rehearsal", "ends");
            if (stage.failure() != null) {
                throw new IllegalStateException("a gateway's decisions failed", stage.failure());
            }
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException(e);
        } finally {
            troubles.shutdownNow();
        }
        return judge.finish();
    }

    /** What the day came to. */
    public Summary summary() {
        return summary;
    }
}
