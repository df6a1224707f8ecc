package cypressvalve.session;

import java.time.Instant;

/**
 * Nanoseconds since 1970 that only advance: the monotonic clock, anchored once to the wall clock. A wall clock that
 * is set later changes nothing. Gateways take turns at a fresh media host by this time of day, so the anchors must
 * agree; {@link ClockBound} says how closely.
 */
public final class Clock {
    private final long offset;

    private Clock(long offset) {
        this.offset = offset;
    }

    /** Anchored to the wall clock now. */
    public static Clock anchored() {
        return shifted(0);
    }

    /** Anchored to the wall clock, set wrong by that many nanoseconds: to rehearse with clocks that disagree. */
    public static Clock shifted(long error) {
        Instant wall = Instant.now();
        return new Clock(wall.getEpochSecond() * 1_000_000_000L + wall.getNano() - System.nanoTime() + error);
    }

    /** The time now, in nanoseconds since 1970. */
    public long now() {
        return System.nanoTime() + offset;
    }
}
