package cypressvalve.load.make;

import cypressvalve.config.Service;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.UUID;
import java.util.random.RandomGenerator;

/**
 * Viewers who come at a swinging rate, want titles by a Zipf law, fetch a segment each few seconds, sometimes fail
 * and try again, share addresses or change them. Requests come in the order of their times; the seed says all.
 */
final class Viewers {
    private static final long SECOND = 1_000_000_000L;
    private static final String[] AGENTS = {
        "Mozilla/5.0 (X11; Linux x86_64) AppleWebKit/537.36 (KHTML, like Gecko) Chrome/120.0 Safari/537.36",
        "Mozilla/5.0 (iPhone; CPU iPhone OS 17_1 like Mac OS X) AppleWebKit/605.1.15",
        "VideoBox/3.2 (model \"Living Room\"; build 7)", "player\\2.1"};
    /** Shares of viewers: first try fails, address shared with the one before, address changes half way. */
    private static final double FAILS = 0.04;
    private static final double SHARES = 0.03;
    private static final double MOVES = 0.01;

    private record Due(long at, long number, Viewer viewer) { }

    private final class Viewer {
        private final int number;
        private final String agent;
        private final String sid;
        private final String title;
        private final String plan;
        private final String tenant;
        private final int rung;
        private final long segments;
        private final long firstSegment;
        private String address;
        private int failures;
        private long next;

        private Viewer(long at, Viewer before) {
            number = made++;
            boolean shares = before != null && chance.nextDouble() < SHARES;
            address = shares ? before.address : "10." + number / 65_536 % 256 + "." + number / 256 % 256 + "."
                + number % 256;
            agent = shares ? before.agent : AGENTS[chance.nextInt(AGENTS.length)];
            sid = new UUID(chance.nextLong(), chance.nextLong()).toString();
            Service.PlanRow row = plans.get(chance.nextInt(plans.size()));
            plan = row.name();
            tenant = tenants.isEmpty() ? "" : tenants.get(chance.nextInt(tenants.size()));
            List<Service.TitleRow> wanted = row.live() ? live : recorded;
            title = wanted.get(rank(wanted.size())).key();
            rung = row.floor() + chance.nextInt(row.top() - row.floor() + 1);
            firstSegment = row.live() ? at / segment : 0;
            double length = meanLength * -Math.log(1 - chance.nextDouble());
            segments = Math.max(1, (long) Math.min(length, row.live() ? length
                : service.titles().get(title).length()) / segment);
            failures = chance.nextDouble() < FAILS ? 1 + chance.nextInt(2) : 0;
            next = -1;
        }

        private Request request(long at) {
            if (next < 0) {
                boolean failed = failures > 0;
                long took = (long) (5e6 + 60e6 * chance.nextDouble());
                return new Request(at, took, number, address, agent, sid, title, plan, tenant, rung, -1,
                    failed ? 503 : 200, failed ? 120 : 400);
            }
            if (next == segments / 2 && next > 0 && chance.nextDouble() < MOVES) {
                address = "172.16." + number / 256 % 256 + "." + number % 256;
            }
            return new Request(at, (long) (20e6 + 300e6 * chance.nextDouble()), number, address, agent, sid, title,
                plan, tenant, rung, firstSegment + next, 200, (long) (service.ladder()[rung] * 1000 * segment / 1e9));
        }

        /** When it asks again, or -1 if it has seen enough. */
        private long after(long at) {
            if (next < 0 && failures > 0) {
                failures--;
                return at + SECOND + (long) (2 * SECOND * chance.nextDouble());
            }
            next++;
            return next >= segments ? -1
                : at + (next == 0 ? 100_000_000L : segment + (long) (0.1 * segment * (chance.nextDouble() - 0.5)));
        }
    }

    private final Service service;
    private final RandomGenerator chance;
    private final double rate;
    private final double meanLength;
    private final long segment;
    private final long end;
    private final List<Service.PlanRow> plans = new ArrayList<>();
    private final List<Service.TitleRow> recorded;
    private final List<Service.TitleRow> live;
    private final List<String> tenants;
    private final PriorityQueue<Due> due = new PriorityQueue<>(Comparator.comparingLong(Due::at)
        .thenComparingLong(Due::number));
    private final long begins;
    private long nextArrival;
    private Viewer last;
    private int made;
    private long number;
    private int most = Integer.MAX_VALUE;

    /**
     * @param rate viewers a second
     * @param meanLength nanoseconds that one watches
     */
    Viewers(Service service, RandomGenerator chance, long begins, long span, double rate, long meanLength) {
        this.service = service;
        this.chance = chance;
        this.rate = rate;
        this.meanLength = meanLength;
        this.begins = begins;
        this.end = begins + span;
        this.segment = service.segment();
        recorded = service.titles().values().stream().filter(t -> !t.live()).toList();
        live = service.titles().values().stream().filter(Service.TitleRow::live).toList();
        service.plans().values().stream().filter(p -> !(p.live() ? live : recorded).isEmpty()).forEach(plans::add);
        tenants = List.copyOf(service.tenants().keySet());
        nextArrival = begins;
        arrive();
    }

    /** No more viewers than that come. */
    void atMost(int viewers) {
        most = viewers;
    }

    private int rank(int count) {
        // Zipf of exponent 1 by inversion of its integral: near enough for ranks, and free of tables.
        return (int) Math.min(count - 1, Math.pow(count + 1, chance.nextDouble()) - 1);
    }

    private void arrive() {
        // The rate swings by a half over ten minutes, as no hour is even.
        double swing = 1 + 0.5 * Math.sin((nextArrival - begins) / 600e9 * 2 * Math.PI);
        nextArrival += (long) (-Math.log(1 - chance.nextDouble()) / (rate * swing) * SECOND);
    }

    /** The next request, or null when the span is over. */
    Request next() {
        while (nextArrival < end && made < most && (due.isEmpty() || nextArrival <= due.peek().at)) {
            last = new Viewer(nextArrival, last);
            due.add(new Due(nextArrival, number++, last));
            arrive();
        }
        Due now = due.poll();
        if (now == null || now.at >= end) {
            return null;
        }
        Request request = now.viewer.request(now.at);
        long again = now.viewer.after(now.at);
        if (again >= 0) {
            due.add(new Due(again, number++, now.viewer));
        }
        return request;
    }
}
