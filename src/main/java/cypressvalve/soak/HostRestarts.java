package cypressvalve.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;

/**
 * Media hosts whose processes die and listen again at their addresses, under their ids, unsaid by the list, and what makes that hard to see.
 *
 * @param restarts in any order
 * @param requestsPerSecond of usual clients: at few of them a gateway has hardly a connection to a host
 * @param gatewayStops standstills of the gateway's process
 */
public record HostRestarts(List<Restart> restarts, int requestsPerSecond, List<GatewayStop> gatewayStops) {
    /** Usual clients ask so often where nothing else is drawn. */
    static final int USUAL_REQUESTS_PER_SECOND = 60;
    static final HostRestarts NONE = new HostRestarts(List.of(), USUAL_REQUESTS_PER_SECOND, List.of());
    /** A host's process takes so long to stand by. */
    static final int STANDS_BY_MILLIS = 1_500;

    private static final int[] REQUESTS_PER_SECOND = {3, 10, 60};
    private static final int MAX_HOSTS = 5;
    private static final int FIRST_MILLIS = 4_000;
    private static final int LAST_MILLIS = 15_000;
    /** The users' shortest; longer ones are those of hosts that stay away for some time. */
    private static final int MIN_DOWN_MILLIS = 100;
    private static final int MAX_DOWN_MILLIS = 1_600;
    private static final int MAX_SECOND_MILLIS = 3_000;
    private static final int MIN_GATEWAY_STOP_MILLIS = 50;
    private static final int MAX_GATEWAY_STOP_MILLIS = 450;

    /**
     * A host's process dies.
     *
     * @param downMillis so much later another listens at its address
     * @param stoppedMillis so long before it stands still
     * @param drained whether the list says before that the host drains
     */
    public record Restart(int atMillis, int host, int downMillis, int stoppedMillis, boolean drained) { }

    /** The gateway's process stands still. */
    public record GatewayStop(int atMillis, int lengthMillis) { }

    /** @param firstHost the hosts from that number on may be struck */
    static HostRestarts draw(RandomGenerator chance, int firstHost, int hosts) {
        List<Restart> restarts = new ArrayList<>();
        List<GatewayStop> stops = new ArrayList<>();
        int struck = chance.nextInt(2, MAX_HOSTS + 1);
        boolean twice = chance.nextInt(3) == 0;
        boolean gatewayStands = chance.nextInt(4) == 0;
        for (int i = 0; i < struck; i++) {
            int at = chance.nextInt(FIRST_MILLIS, LAST_MILLIS);
            int host = firstHost + (i * (hosts - firstHost) / MAX_HOSTS);
            int stopped = chance.nextInt(4) == 0 ? chance.nextInt(MIN_GATEWAY_STOP_MILLIS, 2 * MAX_GATEWAY_STOP_MILLIS) : 0;
            Restart first = new Restart(at, host, down(chance), stopped, chance.nextInt(5) == 0);
            restarts.add(first);
            if (twice) {
                int second = at + first.downMillis + STANDS_BY_MILLIS + chance.nextInt(MAX_SECOND_MILLIS);
                restarts.add(new Restart(second, host, down(chance), 0, false));
            }
            if (gatewayStands) {
                int length = chance.nextInt(MIN_GATEWAY_STOP_MILLIS, MAX_GATEWAY_STOP_MILLIS);
                stops.add(new GatewayStop(at - chance.nextInt(length), length));
            }
        }
        return new HostRestarts(restarts, REQUESTS_PER_SECOND[chance.nextInt(REQUESTS_PER_SECOND.length)], stops);
    }

    /** Short times as often as long ones. */
    private static int down(RandomGenerator chance) {
        return (int) (MIN_DOWN_MILLIS * Math.pow((double) MAX_DOWN_MILLIS / MIN_DOWN_MILLIS, chance.nextDouble()));
    }
}
