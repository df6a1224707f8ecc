package cypressvalve.soak;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;

/**
 * What a trial is made of, drawn from one seed: settings, clients and faults. The same seed gives the same plan; what the
 * processes make of it depends on the machine's timing, too.
 *
 * @param deadlineMillis how long clients wait for an answer
 * @param aimMillis how soon they want to play
 * @param clients connections of clients that are held at a time
 * @param gapMillis the mean time from one request of a client to the next
 * @param faults in order of time
 */
public record TrialPlan(long seed, int deadlineMillis, int aimMillis, int hosts, int gateways, int clients, int gapMillis,
    List<Fault> faults) {
    /** How long clients send. */
    public static final int LENGTH_MILLIS = 7_000;
    private static final int[] DEADLINES = {500, 1_000, 2_000, 3_000};
    private static final int FIRST_FAULT_MILLIS = 300;
    private static final int MAX_STANDSTILL_MILLIS = 250;
    /** Under the time in which a gateway counts on a cancel to be read. */
    private static final int MAX_READ_DELAY_MILLIS = 100;

    /** What can go wrong. */
    public enum FaultKind {
        /** A media host takes set-ups and answers none. */
        HOST_HANGS,
        /** A media host reads what has come only after a while. */
        HOST_READS_LATE,
        /** A media host answers set-ups late. */
        HOST_ANSWERS_LATE,
        /** A media host answers each set-up twice. */
        HOST_ANSWERS_TWICE,
        /** A media host's answers are spoilt. */
        HOST_SPOILS_ANSWERS,
        /** A media host refuses all that is open there. */
        HOST_REFUSES,
        /** A media host's connections are reset. */
        HOST_RESETS,
        /** The list says that a media host drains; it does until the end. */
        HOST_DRAINS,
        /** A gateway is shut down, killed at the earliest, and started anew. */
        GATEWAY_RESTARTS,
        /** All gateways are, one shortly behind the other. */
        ALL_RESTART,
        /** A gateway's process stands still. */
        GATEWAY_STANDS_STILL,
        /** A gateway reads its configuration anew, several times in a row. */
        GATEWAY_RELOADS,
        /** The coordinator's open streams say nothing more. */
        DISCOVERY_SILENT,
        /** The coordinator ends streams and takes none for a while. */
        DISCOVERY_DOWN
    }

    /**
     * One fault.
     *
     * @param atMillis from the trial's begin
     * @param target the number of the host or gateway
     * @param lengthMillis how long it lasts, or how late it makes things
     */
    public record Fault(int atMillis, FaultKind kind, int target, int lengthMillis) { }

    /** The plan of a seed. */
    public static TrialPlan draw(long seed) {
        RandomGenerator chance = RandomGeneratorFactory.of("L64X128MixRandom").create(seed);
        int deadline = DEADLINES[chance.nextInt(DEADLINES.length)];
        int hosts = chance.nextInt(3, 7);
        int gateways = chance.nextInt(1, 4);
        boolean crowd = chance.nextInt(4) == 0;
        List<Fault> faults = new ArrayList<>();
        int wanted = chance.nextInt(4, 10);
        for (int drains = 0; faults.size() < wanted; ) {
            Fault fault = fault(chance, hosts, gateways);
            if (fault.kind() == FaultKind.HOST_DRAINS && ++drains > hosts - 2) {
                continue; // Some hosts must be left to serve.
            }
            faults.add(fault);
        }
        faults.sort(Comparator.comparingInt(Fault::atMillis));
        return new TrialPlan(seed, deadline, deadline * chance.nextInt(50, 91) / 100, hosts, gateways,
            gateways * (crowd ? 8 : 3), crowd ? 25 : 60, faults);
    }

    private static Fault fault(RandomGenerator chance, int hosts, int gateways) {
        FaultKind kind = FaultKind.values()[chance.nextInt(FaultKind.values().length)];
        int at = chance.nextInt(FIRST_FAULT_MILLIS, LENGTH_MILLIS);
        return switch (kind) {
            case HOST_READS_LATE -> new Fault(at, kind, chance.nextInt(hosts), chance.nextInt(20, MAX_READ_DELAY_MILLIS));
            case GATEWAY_STANDS_STILL -> new Fault(at, kind, chance.nextInt(gateways),
                chance.nextInt(50, MAX_STANDSTILL_MILLIS));
            case GATEWAY_RESTARTS, ALL_RESTART, GATEWAY_RELOADS -> new Fault(at, kind, chance.nextInt(gateways), 0);
            default -> new Fault(at, kind, chance.nextInt(hosts), chance.nextInt(500, 4_000));
        };
    }
}
