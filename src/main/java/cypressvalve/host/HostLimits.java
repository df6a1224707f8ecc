package cypressvalve.host;

/**
 * Limits of the way to media hosts, all settings.
 *
 * @param connectTimeout nanoseconds for a connection to come about
 * @param callTimeout nanoseconds for the answer of a rung, release or probe
 * @param repeats how often a rung or release without an answer is sent again
 * @param mostIdle idle connections kept to each host
 */
public record HostLimits(long connectTimeout, long callTimeout, int repeats, int mostIdle) {
    /** What settings have where they say nothing. */
    public static final HostLimits DEFAULT = new HostLimits(250_000_000L, 250_000_000L, 5, 8);
}
