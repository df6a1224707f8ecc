import java.io.IOException;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/** A sound media host within the case's process whose set-ups take some work and whose sessions live for so long. */
final class Living extends Host {
    private final int work;
    private final int least;
    private final int most;
    private final Random chance;
    private final ScheduledExecutorService clock;

    Living(Rig rig, String name, int cell, int work, int least, int most, Random chance, ScheduledExecutorService clock) throws IOException {
        super(rig, name, cell);
        this.work = work;
        this.least = least;
        this.most = most;
        this.chance = chance;
        this.clock = clock;
    }

    @Override
    void setUp(Connection on, String session, Map<String, String> fields, byte[] description) {
        clock.schedule(() -> {
            if (on.open) { // Else the set-up was given up with its connection.
                answer(on, session, description);
                clock.schedule(() -> end(session), least + chance.nextInt(most - least + 1), TimeUnit.MILLISECONDS);
            }
        }, work, TimeUnit.MILLISECONDS);
    }
}
