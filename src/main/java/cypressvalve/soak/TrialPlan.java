package cypressvalve.soak;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Set;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;

/**
 * What a trial is made of, drawn from one seed: settings, clients and faults. The same seed gives the same plan; what the
 * processes make of it depends on the machine's timing, too. Ranges are those of the protocol, not of the gateway.
 *
 * @param deadlineMillis how long clients wait for an answer
 * @param aimMillis how soon they want to play
 * @param clients connections of clients that are held at a time
 * @param gapMillis the mean time from one request of a client to the next
 * @param mayTestHosts whether gateways may test media hosts
 * @param acknowledgesCancels whether media hosts acknowledge cancels, which the protocol leaves free
 * @param repeatsHeardReleases whether media hosts say a release again on the next connection though it was acknowledged
 * @param faults in order of time
 */
public record TrialPlan(long seed, int deadlineMillis, int aimMillis, int hosts, int gateways, int clients, int gapMillis,
    boolean mayTestHosts, boolean acknowledgesCancels, boolean repeatsHeardReleases, List<Fault> faults) {
    /** How long clients send. */
    public static final int LENGTH_MILLIS = 9_000;
    private static final int[] DEADLINES = {400, 500, 1_000, 2_000, 3_000, 5_000};
    private static final int FIRST_FAULT_MILLIS = 300;
    /** A host may read what has come after any time, or never; this is what a trial has time for. */
    private static final int MAX_READ_DELAY_MILLIS = 2_500;
    /** The protocol names no longest standstill and no least part of a core: this one and the next two are our own choice. */
    private static final int MAX_STANDSTILL_MILLIS = 450;
    /** Hundredths of a core that a process may get. */
    private static final int MIN_CORE_PERCENT = 10;
    private static final int MAX_CORE_PERCENT = 60;
    /** A handful of processes in every second trial, and but one in half of those: hosts then know whose each connection is. */
    private static final int MAX_HANDFUL = 6;
    private static final int MIN_GATEWAYS = 10;
    private static final int MAX_GATEWAYS = 40;
    private static final int MIN_CLIENTS = 6;
    /** The list may tell so much later that a host has gone; where discovery is in trouble, later still. */
    private static final int MIN_LISTED_MILLIS = 100;
    private static final int MAX_LISTED_MILLIS = 4_000;
    /** Sessions end up to so long after they began, or never within the trial. */
    private static final int MAX_SESSION_MILLIS = 4_000;
    /** Hundredths of the sessions that end at once, a millisecond later, at some time; the others play on. */
    private static final int END_AT_ONCE = 10;
    private static final int END_IN_A_MILLISECOND = 20;
    private static final int END = 70;
    private static final double CUT_SESSIONS = 0.2;
    private static final double CLOSED_FIRST = 0.3;
    private static final DescriptionForm[] ANSWERS = {DescriptionForm.PAGE, DescriptionForm.PAGE, DescriptionForm.PAGE,
        DescriptionForm.PAGE, DescriptionForm.UNENDED, DescriptionForm.STANDARD};
    private static final double MIN_SPOILT_SHARE = 0.2;
    /** Part of the trials with a crowd of clients. */
    private static final int CROWD_IN = 4;

    /** What can go wrong. */
    public enum FaultKind {
        /** A media host reads nothing and says nothing; its connections stay. */
        HOST_HANGS,
        /** A media host takes set-ups and answers none. */
        HOST_SILENT,
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
        /** No new connection to a media host comes up for a while. */
        HOST_UNREACHABLE,
        /** A media host's system takes new connections, its process takes them only after a while. */
        HOST_ACCEPTS_LATE,
        /** The network to a media host is cut in both directions; connections stay open. */
        HOST_CUT_OFF,
        /** The list says that a media host drains; it does until the end. */
        HOST_DRAINS,
        /** A media host's process dies, and the list says that it has gone. */
        HOST_DIES,
        /** A media host's machine vanishes: connections stay and nothing passes; the list says so some time later. */
        HOST_VANISHES,
        /** A media host's process dies, and another host under a new id has its address before the list tells of either. */
        HOST_REPLACED,
        /** A gateway is shut down, killed at the earliest, and started anew. */
        GATEWAY_RESTARTS,
        /** All gateways are, one shortly behind the other. */
        ALL_RESTART,
        /** A gateway is killed without a word and started anew. */
        GATEWAY_KILLED,
        /** A gateway's process stands still. */
        GATEWAY_STANDS_STILL,
        /** A gateway's process runs for a part of each tenth of a second only. */
        GATEWAY_ON_PART_OF_A_CORE,
        /** All gateways' processes do. */
        ALL_ON_PART_OF_A_CORE,
        /** A gateway reads its configuration anew, several times in a row. */
        GATEWAY_RELOADS,
        /** The coordinator moves to another address, which all gateways read in their configurations. */
        DISCOVERY_MOVES,
        /** The coordinator's open streams say nothing more. */
        DISCOVERY_SILENT,
        /** The coordinator answers new streams late. */
        DISCOVERY_SLOW,
        /** The coordinator ends streams and takes none for a while. */
        DISCOVERY_DOWN
    }

    /**
     * One fault.
     *
     * @param atMillis from the trial's begin
     * @param target the number of the host or gateway
     * @param lengthMillis how long it lasts
     * @param amount how much of it: a delay in milliseconds, or hundredths of a core
     */
    public record Fault(int atMillis, FaultKind kind, int target, int lengthMillis, int amount) {
        /** Whether a media host that hangs goes on taking connections, as half of them do; drawn with the time. */
        boolean acceptsWhileHanging() {
            return atMillis % 2 == 0;
        }
    }

    private static final Set<FaultKind> LOSING = Set.of(FaultKind.HOST_DRAINS, FaultKind.HOST_DIES, FaultKind.HOST_VANISHES,
        FaultKind.HOST_REPLACED);

    private static final Set<FaultKind> GATEWAY_FAULTS = Set.of(FaultKind.GATEWAY_RESTARTS, FaultKind.GATEWAY_KILLED,
        FaultKind.GATEWAY_STANDS_STILL, FaultKind.GATEWAY_ON_PART_OF_A_CORE, FaultKind.ALL_ON_PART_OF_A_CORE, FaultKind.ALL_RESTART,
        FaultKind.GATEWAY_RELOADS, FaultKind.DISCOVERY_MOVES);

    /** How a session ends, as drawn; null for one that plays on. */
    static SessionEnd sessionEnd(RandomGenerator chance) {
        int kind = chance.nextInt(100);
        if (kind >= END) {
            return null;
        }
        long after = kind < END_AT_ONCE ? 0 : kind < END_IN_A_MILLISECOND ? 1 : chance.nextInt(2, MAX_SESSION_MILLIS);
        return new SessionEnd(after, chance.nextDouble() < CUT_SESSIONS ? SessionEnd.CUT : SessionEnd.NORMAL,
            chance.nextDouble() < CLOSED_FIRST);
    }

    /** How clients describe sessions. */
    DescriptionForm offers() {
        return answers() == DescriptionForm.UNENDED ? DescriptionForm.UNENDED : DescriptionForm.PAGE;
    }

    /** How media hosts describe sessions: as the protocol's page shows it in two trials of three. */
    DescriptionForm answers() {
        return ANSWERS[descriptionChance().nextInt(ANSWERS.length)];
    }

    /** The part of a media host's answers that is spoilt while they are. */
    double spoiltShare() {
        RandomGenerator chance = descriptionChance();
        chance.nextInt();
        return MIN_SPOILT_SHARE + (1 - MIN_SPOILT_SHARE) * chance.nextDouble();
    }

    /** Drawn apart from the faults, so that a seed keeps those that it had. */
    private RandomGenerator descriptionChance() {
        return RandomGeneratorFactory.of("L64X128MixRandom").create(~seed);
    }

    /** The plan of a seed. */
    public static TrialPlan draw(long seed) {
        RandomGenerator chance = RandomGeneratorFactory.of("L64X128MixRandom").create(seed);
        int deadline = DEADLINES[chance.nextInt(DEADLINES.length)];
        int hosts = chance.nextInt(3, 7);
        int handful = chance.nextBoolean() ? 1 : chance.nextInt(2, MAX_HANDFUL + 1);
        int gateways = chance.nextBoolean() ? handful : chance.nextInt(MIN_GATEWAYS, MAX_GATEWAYS + 1);
        boolean crowd = chance.nextInt(CROWD_IN) == 0;
        List<Fault> faults = new ArrayList<>();
        int wanted = chance.nextInt(6, 13);
        for (int lost = 0; faults.size() < wanted; ) {
            Fault fault = fault(chance, hosts, gateways);
            boolean loses = LOSING.contains(fault.kind());
            if (loses && ++lost > hosts - 2) {
                continue; // Some hosts must be left to serve.
            }
            faults.add(fault);
        }
        faults.sort(Comparator.comparingInt(Fault::atMillis));
        return new TrialPlan(seed, deadline, deadline * chance.nextInt(50, 91) / 100, hosts, gateways,
            Math.max(MIN_CLIENTS, gateways * (crowd ? 4 : 2)), gapMillis(gateways, crowd), chance.nextInt(4) > 0, chance.nextBoolean(),
            chance.nextBoolean(), faults);
    }

    /** The same on a handful of gateways at most, where the machine has other things to do, too. */
    public TrialPlan onAHandful() {
        int few = Math.min(gateways, MAX_HANDFUL);
        List<Fault> onFew = faults.stream().map(fault -> GATEWAY_FAULTS.contains(fault.kind())
            ? new Fault(fault.atMillis(), fault.kind(), fault.target() % few, fault.lengthMillis(), fault.amount()) : fault).toList();
        return new TrialPlan(seed, deadlineMillis, aimMillis, hosts, few, Math.min(clients, MAX_HANDFUL * 2), Math.max(60, gapMillis * few / gateways),
            mayTestHosts, acknowledgesCancels, repeatsHeardReleases, onFew);
    }

    /** As many requests a second in all as the emulators keep up with, whatever the number of gateways. */
    private static int gapMillis(int gateways, boolean crowd) {
        return crowd ? Math.max(25, gateways * 5 / 2) : Math.max(60, gateways * 5);
    }

    private static Fault fault(RandomGenerator chance, int hosts, int gateways) {
        FaultKind kind = FaultKind.values()[chance.nextInt(FaultKind.values().length)];
        int at = chance.nextInt(FIRST_FAULT_MILLIS, LENGTH_MILLIS);
        int length = chance.nextInt(500, 5_000);
        return switch (kind) {
            case HOST_READS_LATE -> new Fault(at, kind, chance.nextInt(hosts), length, chance.nextInt(20, MAX_READ_DELAY_MILLIS));
            case HOST_ANSWERS_LATE -> new Fault(at, kind, chance.nextInt(hosts), length, chance.nextInt(50, 2_000));
            case DISCOVERY_SLOW -> new Fault(at, kind, 0, length, chance.nextInt(200, 2_500));
            case GATEWAY_STANDS_STILL -> new Fault(at, kind, chance.nextInt(gateways),
                chance.nextInt(50, MAX_STANDSTILL_MILLIS), 0);
            case GATEWAY_ON_PART_OF_A_CORE, ALL_ON_PART_OF_A_CORE -> new Fault(at, kind, chance.nextInt(gateways), length,
                chance.nextInt(MIN_CORE_PERCENT, MAX_CORE_PERCENT));
            case GATEWAY_RESTARTS, ALL_RESTART, GATEWAY_KILLED, GATEWAY_RELOADS, DISCOVERY_MOVES ->
                new Fault(at, kind, chance.nextInt(gateways), 0, 0);
            case HOST_VANISHES, HOST_REPLACED -> new Fault(at, kind, chance.nextInt(hosts), 0,
                chance.nextInt(MIN_LISTED_MILLIS, MAX_LISTED_MILLIS));
            default -> new Fault(at, kind, chance.nextInt(hosts), length, 0);
        };
    }
}
