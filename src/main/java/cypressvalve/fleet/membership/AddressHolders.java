package cypressvalve.fleet.membership;

import cypressvalve.host.HostAddress;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/**
 * Which media host holds an address, as the list has it. The list may name a new one at the address of one that has gone before it drops
 * that, or name both at once in any order: of two at an address the one that started last is there, and of two of which no start is told
 * the one that came to the list last. Whoever held it before has gone, whatever the list still says of it. Free of I/O and clocks.
 */
public final class AddressHolders {
    private record Place(String host, int port) {
        private static Place of(HostAddress address) {
            return new Place(address.host(), address.port());
        }
    }

    private record Holder(long id, long startedAt) { }

    private final Map<Place, Holder> holders = new HashMap<>();

    /**
     * The list names a media host.
     *
     * @param startedAt when it started, nanoseconds; 0 where not told
     * @param arrives whether it was not named at this address before
     */
    public void named(HostAddress address, long startedAt, boolean arrives) {
        Holder there = holders.get(Place.of(address));
        boolean follows = there == null || there.id == address.id() || startedAt > there.startedAt
            || arrives && startedAt == there.startedAt;
        if (follows) {
            holders.put(Place.of(address), new Holder(address.id(), startedAt));
        }
    }

    /** Whether that media host is the one at its address. */
    public boolean holds(HostAddress address) {
        Holder there = holders.get(Place.of(address));
        return there == null || there.id == address.id();
    }

    /** Forgets addresses of others than these media hosts. */
    public void keep(Set<Long> ids) {
        holders.values().removeIf(holder -> !ids.contains(holder.id));
    }
}
