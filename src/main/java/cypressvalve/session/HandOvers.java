package cypressvalve.session;

import cypressvalve.admission.SharedLimit;
import cypressvalve.model.MediaHost;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;

/**
 * Which of the sessions that were handed over count in the decisions. Whoever names a session as standing may have made it up; its media
 * host alone can tell. A word of the host on the session confirms it. Until then it counts as far as its host's link could carry all that
 * are named there, and as far as no later report of the host speaks against that. One that does not count is held all the same: its end
 * is told, its seat is taken, and the host's word makes it count. Free of I/O and clocks; times are nanoseconds.
 */
final class HandOvers {
    /** Told sizes of links are rough, and so are reports: a session is doubted only beyond so many times what they show. */
    private static final double ROUGHNESS = 2;
    /** Less than this part of a link may be missing in a report by its noise. */
    private static final double LEAST_SHOWN = 0.1;
    /** Reports are smoothed and late: what was handed over so long before shows in them. */
    private static final long SHOWN_AFTER = 2_000_000_000L;

    /** One session that was handed over and is not confirmed. */
    static final class Claim {
        private final Session session;
        private final MediaHost host;
        private final HandOverSource source;
        private final double leastKb;
        private final long since;
        private final long number;
        private boolean counted;

        private Claim(long number, Session session, MediaHost host, HandOverSource source, double leastKb, long since) {
            this.number = number;
            this.session = session;
            this.host = host;
            this.source = source;
            this.leastKb = leastKb;
            this.since = since;
        }

        /** Whether it counts in the decisions; else it is only held. */
        boolean counted() {
            return counted;
        }
    }

    /** The claims at one media host that count, the oldest first. */
    private static final class HostClaims {
        private final Set<Claim> counted = new LinkedHashSet<>();
        private double kb;
    }

    private final SharedLimit<HandOverSource> limit;
    private final Map<MediaHost, HostClaims> hosts = new HashMap<>();
    private final Consumer<Session> dropped;
    private long numbers;

    /**
     * @param most sessions that are not confirmed; beyond it the newest of the source that has the most go
     * @param dropped takes those that go
     */
    HandOvers(int most, Consumer<Session> dropped) {
        limit = new SharedLimit<>(most);
        this.dropped = dropped;
    }

    /** Sessions that are not confirmed. */
    long unconfirmed() {
        return limit.held();
    }

    /**
     * A session is said to stand at that host.
     *
     * @param leastKb what it asks of the host's link at its lowest rung, kB a second
     * @return null where too many are not confirmed, and no other source has many more
     */
    Claim claim(Session session, MediaHost host, HandOverSource source, double leastKb, long now) {
        Optional<HandOverSource> payer = limit.payerFor(source, 1);
        if (payer.isPresent() && payer.get() == source) {
            return null;
        }
        payer.ifPresent(this::dropNewest);
        Claim claim = new Claim(++numbers, session, host, source, leastKb, now);
        source.claims.put(claim.number, claim);
        limit.add(source, 1);
        HostClaims there = hosts.get(host);
        if ((there == null ? 0 : there.kb) + leastKb <= ROUGHNESS * host.link) {
            count(claim);
        }
        return claim;
    }

    private void dropNewest(HandOverSource source) {
        dropped.accept(source.claims.lastEntry().getValue().session);
    }

    /** The session is confirmed, or over. */
    void over(Claim claim) {
        if (claim.source.claims.remove(claim.number) != null) {
            limit.add(claim.source, -1);
            countNoMore(claim);
        }
    }

    /**
     * A media host reports the use of its link: what was handed over long enough before and can't be part of it counts no more. Those of
     * the source that named the most there go first, its newest before others.
     *
     * @param linkUse what is asked of the link over what it gives
     * @return those that counted until now
     */
    List<Session> contradicted(MediaHost host, double linkUse, long now) {
        HostClaims there = hosts.get(host);
        if (there == null || Double.isNaN(linkUse)) {
            return List.of();
        }
        Map<HandOverSource, List<Claim>> bySource = new LinkedHashMap<>();
        double kb = 0;
        for (Claim claim : there.counted) {
            if (now - claim.since >= SHOWN_AFTER) {
                bySource.computeIfAbsent(claim.source, source -> new ArrayList<>()).add(claim);
                kb += claim.leastKb;
            }
        }
        double shown = host.link * Math.max(LEAST_SHOWN, ROUGHNESS * linkUse);
        List<Session> all = new ArrayList<>();
        while (kb > shown && !bySource.isEmpty()) {
            List<Claim> most = bySource.values().stream().max(Comparator.comparingInt(List::size)).orElseThrow();
            Claim claim = most.remove(most.size() - 1);
            if (most.isEmpty()) {
                bySource.remove(claim.source);
            }
            kb -= claim.leastKb;
            countNoMore(claim);
            all.add(claim.session);
        }
        return all;
    }

    private void count(Claim claim) {
        HostClaims there = hosts.computeIfAbsent(claim.host, host -> new HostClaims());
        claim.counted = true;
        there.counted.add(claim);
        there.kb += claim.leastKb;
    }

    private void countNoMore(Claim claim) {
        HostClaims there = hosts.get(claim.host);
        if (!claim.counted) {
            return;
        }
        claim.counted = false;
        there.counted.remove(claim);
        there.kb -= claim.leastKb;
        if (there.counted.isEmpty()) {
            hosts.remove(claim.host);
        }
    }
}
