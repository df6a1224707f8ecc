package cypressvalve.load.replay;

import java.net.URI;
import java.util.List;

/**
 * How a trace is replayed; times in nanoseconds.
 *
 * @param speed how much faster than it was
 * @param from where in the trace to begin, by its own time
 * @param length how much of it, by its own time
 * @param share this driver's number, from 0
 * @param of drivers that share the trace; each viewer is driven by one of them
 * @param retries who decides on further tries
 * @param connections viewers driven at once at most; those beyond are not sent and make the run void
 * @param lateBound the driver's own lateness at its 99th percentile beyond which the run is void
 * @param headless whether viewers whose request is not in the trace ask when they were first seen
 */
public record Plan(double speed, long from, long length, int share, int of, Retries retries, int connections,
    long lateBound, boolean headless) {

    /** Further tries as the source had them, as the day's viewers have them, or none. Never two of these. */
    public enum Retries { SOURCE, MODEL, NONE }

    /** Half a segment's length of any usual size is noticed by no player. */
    public static final long LATE_BOUND = 50_000_000L;

    /** Gateways that run already. */
    public record Targets(List<URI> gateways) {
        /** The gateway of a number, without a slash at its end. */
        public String uri(int number) {
            String text = gateways.get(number).toString();
            return text.endsWith("/") ? text.substring(0, text.length() - 1) : text;
        }
    }
}
