package cypressvalve.lab;

import cypressvalve.config.Service;
import java.util.List;
import java.util.random.RandomGenerator;

/**
 * Simple ways to choose a media host, to compare Control with; never in the product's path. Each tries once, at the
 * highest rung that plan and screen allow, never changes a rung, and rejects when the host does not take it.
 */
public enum Policy {
    /** Control, as the program runs it. */
    CONTROL {
        @Override
        int choose(List<Integer> holders, Service.TitleRow title, int[] own, RandomGenerator chance) {
            throw new IllegalStateException("Control chooses for itself");
        }
    },
    /** Any holder. */
    RANDOM {
        @Override
        int choose(List<Integer> holders, Service.TitleRow title, int[] own, RandomGenerator chance) {
            return holders.get(chance.nextInt(holders.size()));
        }
    },
    /** The holder that carries the fewest of this gateway's own playbacks. */
    LEAST_LOADED {
        @Override
        int choose(List<Integer> holders, Service.TitleRow title, int[] own, RandomGenerator chance) {
            int least = chance.nextInt(holders.size());
            for (int i = 0; i < holders.size(); i++) {
                least = own[holders.get(i)] < own[holders.get(least)] ? i : least;
            }
            return holders.get(least);
        }
    },
    /** The title's own holder, whatever its load; the next in order where it is gone. */
    PLAIN_HASH {
        @Override
        int choose(List<Integer> holders, Service.TitleRow title, int[] own, RandomGenerator chance) {
            return holders.get(Math.floorMod(title.key().hashCode() * 0x9e3779b1 >>> 4, holders.size()));
        }
    };

    /**
     * Chooses one of a title's holders that the list names as active.
     *
     * @param own playbacks that this gateway has on each host
     */
    abstract int choose(List<Integer> holders, Service.TitleRow title, int[] own, RandomGenerator chance);
}
