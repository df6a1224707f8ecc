package cypressvalve.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;
import java.util.stream.Collectors;

/**
 * A trial of one gateway whose media hosts are processes that are stopped and go on, drawn from one seed. Ranges are the pages', or what a
 * trial has time for; none follows from a constant of the gateway.
 *
 * @param descriptors that the gateway may hold
 * @param streams set-ups that one connection to a media host carries at once
 * @param stops of media hosts, several at a time, in order of time
 * @param crowdsAtMillis when a crowd of clients comes
 * @param killed numbers of the hosts that die
 * @param killedAtMillis when
 * @param crowd clients that come at a time
 * @param corePercent hundredths of a core that the gateway gets
 * @param habits how the hosts take connections
 * @param restarts of media hosts, and what comes beside them
 */
public record StandstillPlan(long seed, int descriptors, int streams, boolean mayTestHosts, int hosts, List<Stop> stops,
    List<Integer> crowdsAtMillis, List<Integer> killed, int killedAtMillis, int crowd, int corePercent, HostHabits habits,
    HostRestarts restarts) {
    /** How long clients send. */
    static final int LENGTH_MILLIS = 22_000;
    /** The list tells so much later that hosts have gone. */
    static final int GONE_TOLD_MILLIS = 4_500;
    private static final int USUAL_CROWD = 200;
    private static final int MAX_CROWD = 400;
    static final int WHOLE_CORE_PERCENT = 100;
    /** The platform gives a gateway a part of a core, and names no least one. */
    private static final int MIN_CORE_PERCENT = 25;
    private static final int MAX_CORE_PERCENT = 60;
    private static final int LATE_PERCENT = 30;
    private static final int RESET_PERCENT = 5;
    private static final long CROWDED_SALT = 0x5eed_c0de_5eed_c0deL;
    private static final long RESTARTS_SALT = 0x0dd5_eed5_0dd5_eed5L;
    private static final int MIN_NETWORK_RESET_MILLIS = 330;
    private static final int MAX_NETWORK_RESET_MILLIS = 3_000;
    static final int CROWD_MILLIS = 400;
    private static final int HOSTS = 13;
    private static final int STOPPED_AT_A_TIME = 3;
    private static final int KILLED = 2;
    private static final int FIRST_STOP_MILLIS = 3_000;
    private static final int MIN_STOP_MILLIS = 150;
    /** The users' least standstill of a media host. */
    private static final int MAX_STOP_MILLIS = 7_400;
    private static final int MIN_GAP_MILLIS = 100;
    private static final int MAX_GAP_MILLIS = 1_500;
    private static final int FIRST_CROWD_MILLIS = 3_500;
    private static final int MIN_CROWD_GAP_MILLIS = 2_000;
    private static final int MAX_CROWD_GAP_MILLIS = 5_000;
    private static final int MIN_KILL_MILLIS = 8_000;
    private static final int MAX_KILL_MILLIS = 15_000;
    /** Clients whose sessions were lost come again as a crowd. */
    private static final int COME_AGAIN_MILLIS = 1_000;
    /** The platform gives a gateway 256 to 1,024. */
    private static final int[] DESCRIPTORS = {256, 256, 320, 512, 1_024};
    private static final int[] STREAMS = {2, 1, 4, 32};

    /** A media host stands still. */
    record Stop(int atMillis, int host, int lengthMillis) { }

    /** The plan of a seed. */
    public static StandstillPlan draw(long seed) {
        RandomGenerator chance = RandomGeneratorFactory.of("L64X128MixRandom").create(seed);
        int descriptors = DESCRIPTORS[chance.nextInt(DESCRIPTORS.length)];
        int streams = STREAMS[chance.nextInt(STREAMS.length)];
        boolean mayTestHosts = chance.nextInt(3) > 0;
        List<Integer> killed = new ArrayList<>();
        int dying = chance.nextInt(4) > 0 ? KILLED : 0;
        for (int i = 0; i < dying; i++) {
            killed.add(i);
        }
        List<Stop> stops = new ArrayList<>();
        for (int at = FIRST_STOP_MILLIS; at < LENGTH_MILLIS; ) {
            int longest = 0;
            for (int i = 0; i < STOPPED_AT_A_TIME; i++) {
                int length = chance.nextInt(MIN_STOP_MILLIS, MAX_STOP_MILLIS);
                longest = Math.max(longest, length);
                int host = KILLED + i + STOPPED_AT_A_TIME * chance.nextInt((HOSTS - KILLED) / STOPPED_AT_A_TIME);
                stops.add(new Stop(at, host, length));
            }
            at += longest + chance.nextInt(MIN_GAP_MILLIS, MAX_GAP_MILLIS);
        }
        List<Integer> crowds = new ArrayList<>();
        for (int at = FIRST_CROWD_MILLIS; at < LENGTH_MILLIS; at += chance.nextInt(MIN_CROWD_GAP_MILLIS, MAX_CROWD_GAP_MILLIS)) {
            crowds.add(at);
        }
        int killedAt = chance.nextInt(MIN_KILL_MILLIS, MAX_KILL_MILLIS);
        if (dying > 0) {
            crowds.add(killedAt + COME_AGAIN_MILLIS);
        }
        return new StandstillPlan(seed, descriptors, streams, mayTestHosts, HOSTS, stops, crowds, killed, killedAt, USUAL_CROWD,
            WHOLE_CORE_PERCENT, HostHabits.USUAL, HostRestarts.NONE);
    }

    /**
     * The plan of a seed whose hosts' processes die and listen again soon. In parts of the seeds the network resets connections, hosts stand
     * still, crowds come, and the gateway is on part of a core.
     */
    public static StandstillPlan drawRestarts(long seed) {
        StandstillPlan plan = draw(seed);
        RandomGenerator chance = RandomGeneratorFactory.of("L64X128MixRandom").create(seed ^ RESTARTS_SALT);
        HostRestarts restarts = HostRestarts.draw(chance, KILLED, HOSTS);
        int core = chance.nextInt(3) == 0 ? chance.nextInt(MIN_CORE_PERCENT, MAX_CORE_PERCENT) : WHOLE_CORE_PERCENT;
        int resetMillis = chance.nextBoolean() ? chance.nextInt(MIN_NETWORK_RESET_MILLIS, MAX_NETWORK_RESET_MILLIS) : 0;
        HostHabits habits = new HostHabits(0, 0, false, new HostHabits.NetworkResets(resetMillis, chance.nextBoolean()));
        Set<Integer> struck = restarts.restarts().stream().map(HostRestarts.Restart::host).collect(Collectors.toSet());
        List<Stop> stops = chance.nextInt(3) > 0 ? List.of() : plan.stops.stream().filter(stop -> !struck.contains(stop.host())).toList();
        List<Integer> crowds = chance.nextInt(3) > 0 ? List.of() : plan.crowdsAtMillis;
        return new StandstillPlan(seed, plan.descriptors, plan.streams, plan.mayTestHosts, plan.hosts, stops, crowds, plan.killed,
            plan.killedAtMillis, plan.crowd, core, habits, restarts);
    }

    /** The same with hosts that count a repeat as said though the connection had been reset. */
    public StandstillPlan withStrictHosts() {
        return new StandstillPlan(seed, descriptors, streams, mayTestHosts, hosts, stops, crowdsAtMillis, killed, killedAtMillis, crowd, corePercent,
            new HostHabits(habits.latePercent(), habits.resetPercent(), true, habits.networkResets()), restarts);
    }

    /** The plan of a seed with larger crowds, for three of four seeds on part of a core, and with hosts that take connections late or reset new ones. */
    public static StandstillPlan drawCrowded(long seed) {
        StandstillPlan plan = draw(seed);
        RandomGenerator chance = RandomGeneratorFactory.of("L64X128MixRandom").create(seed ^ CROWDED_SALT);
        int crowd = chance.nextInt(USUAL_CROWD, MAX_CROWD);
        int core = chance.nextInt(4) > 0 ? chance.nextInt(MIN_CORE_PERCENT, MAX_CORE_PERCENT) : WHOLE_CORE_PERCENT;
        HostHabits habits = switch (chance.nextInt(3)) {
            case 0 -> new HostHabits(LATE_PERCENT, 0, false, HostHabits.NetworkResets.NONE);
            case 1 -> new HostHabits(0, RESET_PERCENT, false, HostHabits.NetworkResets.NONE);
            default -> HostHabits.USUAL;
        };
        return new StandstillPlan(seed, plan.descriptors, plan.streams, plan.mayTestHosts, plan.hosts, plan.stops, plan.crowdsAtMillis, plan.killed,
            plan.killedAtMillis, crowd, core, habits, plan.restarts);
    }
}
