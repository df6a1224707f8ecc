package cypressvalve.session;

import java.time.Instant;

/** Nanoseconds since 1970 that only advance. */
public interface Clock {
    /** The time now. */
    long now();

    /**
     * The monotonic clock, anchored once to the wall clock: a wall clock that is set later changes nothing. Gateways
     * take turns at a fresh media host by this time of day; {@link ClockBound} says how closely they must agree.
     */
    static Clock anchored() {
        return shifted(0);
    }

    /** The same, set wrong by that many nanoseconds: to rehearse with clocks that disagree. */
    static Clock shifted(long error) {
        Instant wall = Instant.now();
        long offset = wall.getEpochSecond() * 1_000_000_000L + wall.getNano() - System.nanoTime() + error;
        return () -> System.nanoTime() + offset;
    }
}
