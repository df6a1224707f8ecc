package cypressvalve.admission;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * A limit on what many holders have together. Where it is met, the one that holds the most gives back for whoever holds far less, however
 * many there are; others get no more. Free of I/O and clocks.
 *
 * <p>Source: longest queue drop, as in B. Suter, T. V. Lakshman, D. Stiliadis and A. K. Choudhury, "Design considerations for supporting
 * TCP with per-flow queueing", IEEE INFOCOM 1998.
 *
 * @param <H> a holder, told by identity or {@code equals}
 */
public final class SharedLimit<H> {
    /** Holders that have about as much do not take it from each other to and fro. */
    private static final int TIMES_AS_MUCH = 2;

    private final long most;
    private long held;
    /** Of those that hold something. */
    private final Map<H, Long> byHolder = new LinkedHashMap<>();

    /** @param most what all may hold together, in their unit */
    public SharedLimit(long most) {
        this.most = most;
    }

    /** Counts what a holder has taken; below 0 what it has given back. */
    public void add(H holder, long amount) {
        held += amount;
        byHolder.merge(holder, amount, SharedLimit::sumOrNone);
    }

    private static Long sumOrNone(long before, long more) {
        return before + more == 0 ? null : before + more;
    }

    /** What all hold together. */
    public long held() {
        return held;
    }

    /**
     * Who has to give something back for another to take more.
     *
     * @return empty where there is room; the holder itself where nobody else holds at least {@link #TIMES_AS_MUCH} times what it would then
     */
    public Optional<H> payerFor(H holder, long more) {
        if (held + more <= most) {
            return Optional.empty();
        }
        return Optional.of(largest().filter(entry -> entry.getValue() >= TIMES_AS_MUCH * (byHolder.getOrDefault(holder, 0L) + more))
            .map(Map.Entry::getKey).orElse(holder));
    }

    /** The one that holds the most where all hold too much together. */
    public Optional<H> payer() {
        return held <= most ? Optional.empty() : largest().map(Map.Entry::getKey);
    }

    private Optional<Map.Entry<H, Long>> largest() {
        return byHolder.entrySet().stream().max(Map.Entry.comparingByValue());
    }
}
