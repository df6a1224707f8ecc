package cypressvalve.soak;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;

/**
 * What comes to a trial beside its plan: clients that hold or flood connections, media hosts that stand still for as long as the users'
 * do, and the time for both. Drawn apart from the plan, so that a seed keeps the faults that it had.
 *
 * @param lengthMillis how long clients send
 * @param hangs of media hosts, in order of time
 * @param spells of hostile clients
 */
public record HostilePlan(int lengthMillis, List<TrialPlan.Fault> hangs, List<Spell> spells) {
    /** Nothing more than the trial's plan. */
    public static final HostilePlan NONE = new HostilePlan(TrialPlan.LENGTH_MILLIS, List.of(), List.of());
    private static final int LONG_MILLIS = 45_000;
    /** The users' media hosts stand still for so long. */
    private static final int MIN_HANG_MILLIS = 7_400;
    private static final int MAX_HANG_MILLIS = 23_000;
    private static final int MAX_HANG_AT_MILLIS = 20_000;
    private static final int MIN_SPELL_MILLIS = 2_000;
    private static final int MAX_SPELL_MILLIS = 6_000;
    private static final int MIN_CONNECTIONS = 50;
    private static final int MAX_CONNECTIONS = 200;

    /**
     * Hostile clients at one gateway for some time.
     *
     * @param connections that they hold; where none, one floods
     * @param held what the connections say that are held
     * @param flood what is sent at full speed
     */
    record Spell(int atMillis, int lengthMillis, int gateway, int connections, HostileClients.Held held, HostileClients.Flood flood) { }

    /** For a short trial: two spells, and no longer than its plan. */
    public static HostilePlan drawShort(TrialPlan plan) {
        RandomGenerator chance = chance(plan);
        return new HostilePlan(TrialPlan.LENGTH_MILLIS, List.of(), spells(chance, plan, 2, TrialPlan.LENGTH_MILLIS));
    }

    /** For a long one: one or two media hosts stand still, and up to eight spells. */
    public static HostilePlan drawLong(TrialPlan plan) {
        RandomGenerator chance = chance(plan);
        List<TrialPlan.Fault> hangs = new ArrayList<>();
        for (int left = chance.nextInt(1, 3); left > 0; left--) {
            hangs.add(new TrialPlan.Fault(chance.nextInt(MAX_HANG_AT_MILLIS), TrialPlan.FaultKind.HOST_HANGS, chance.nextInt(plan.hosts()),
                chance.nextInt(MIN_HANG_MILLIS, MAX_HANG_MILLIS + 1), 0));
        }
        hangs.sort(Comparator.comparingInt(TrialPlan.Fault::atMillis));
        return new HostilePlan(LONG_MILLIS, hangs, spells(chance, plan, chance.nextInt(3, 9), LONG_MILLIS));
    }

    private static RandomGenerator chance(TrialPlan plan) {
        return RandomGeneratorFactory.of("L64X128MixRandom").create(plan.seed() ^ Long.MIN_VALUE);
    }

    private static List<Spell> spells(RandomGenerator chance, TrialPlan plan, int count, int lengthMillis) {
        List<Spell> spells = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            int at = chance.nextInt(lengthMillis - MIN_SPELL_MILLIS);
            int length = chance.nextInt(MIN_SPELL_MILLIS, MAX_SPELL_MILLIS);
            int connections = chance.nextBoolean() ? 0 : chance.nextInt(MIN_CONNECTIONS, MAX_CONNECTIONS);
            spells.add(new Spell(at, length, chance.nextInt(plan.gateways()), connections,
                HostileClients.Held.values()[chance.nextInt(HostileClients.Held.values().length)],
                HostileClients.Flood.values()[chance.nextInt(HostileClients.Flood.values().length)]));
        }
        return spells;
    }
}
