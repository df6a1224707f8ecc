package cypressvalve.fleet;

import cypressvalve.host.HostAddress;
import cypressvalve.model.MediaHost;

/**
 * One media host as a list tells of it.
 *
 * @param weight its size as the list has it, above 0
 * @param startedAt nanoseconds since 1970 of its last start, 0 for a distant past
 * @param cell the cell that says which titles it holds and, modulo the racks, where it stands
 */
public record ListEntry(HostAddress address, MediaHost.State state, double weight, long startedAt, int cell,
    String kind, String zone) { }
