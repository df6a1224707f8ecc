package cypressvalve.planner;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cypressvalve.config.Doc;
import cypressvalve.trouble.DayScript;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

class PlannerTest {
    private static final long SECOND = 1_000_000_000L;
    private static final String DAY = """
        day: {name: plan, seed: 1, length: 60s}
        gateways: {count: 2}
        hosts: {count: 10, link: 1000, uplink: UPLINK, cores: 2, work: 20ms}
        titles: {recorded: 10, copies: COPIES, zipf: ZIPF, length: 60s}
        viewers: {rate: 10, length: 10s, plans: {plain: 1}}
        service:
          ladder: [40, 80, 160]
          revenue: [0.3, 0.6, 1]
          plans: [{name: plain, startup: 1s, abandon: 3s, seats: SEATS}]
          fleet: {cells: 10, racks: 2, link: 1000, uplink: UPLINK, kinds: [{name: std, places: PLACES}]}
        """;

    private static DayScript day(String uplink, String copies, String zipf, String seats, String places) {
        Doc doc = Doc.parse("plan", DAY.replace("UPLINK", uplink).replace("COPIES", copies).replace("ZIPF", zipf)
            .replace("SEATS", seats).replace("PLACES", places));
        DayScript day = DayScript.read(doc);
        doc.verify();
        return day;
    }

    private static Fluid.Estimate estimate(DayScript day) {
        return Fluid.of(Fleet.of(day), Fleet.demand(day));
    }

    @Test
    void whatRunsOutFirstIsToldApart() {
        assertEquals(Fluid.Resource.LINKS, estimate(day("0", "10", "0", "0", "500")).first().resource());
        assertEquals(Fluid.Resource.UPLINKS, estimate(day("3000", "10", "0", "0", "500")).first().resource());
        assertEquals(Fluid.Resource.PLACES, estimate(day("0", "10", "0", "0", "11")).first().resource());
        Fluid.Use scarce = estimate(day("0", "1", "3", "0", "500")).first();
        assertEquals(Fluid.Resource.HOLDERS, scarce.resource());
        assertEquals("r0", scarce.which());
        Fluid.Use seats = estimate(day("0", "10", "0", "5", "500")).first();
        assertEquals(Fluid.Resource.SEATS, seats.resource());
        assertEquals(1, seats.low(), 1e-9, "ten viewers a title, five at each gateway, five seats");
    }

    @Test
    void littlesLawGivesTheUseOfLinks() {
        // 10 a second for 10 s: 100 at 40 kB a second on 10 links of 1,000.
        Fluid.Estimate e = estimate(day("0", "10", "0", "0", "500"));
        assertEquals(0.4, e.first().low(), 1e-9);
        assertEquals(1.6, e.first().high(), 1e-9);
        assertEquals(0.98 / 0.4, e.first().until(), 1e-9);
        assertEquals((9800 - 4000) / 12_000.0, e.rungShare(), 1e-9);
        assertTrue(e.blocked() < 1e-6);
        DayScript day = day("0", "10", "0", "0", "500");
        assertTrue(Fluid.of(Fleet.of(day), Fleet.demand(day).times(3)).blocked() > 0.1, "12,000 wanted of 9,800");
        assertTrue(Fluid.of(Fleet.of(day).hosts(5), Fleet.demand(day)).first().low() > 0.79);
    }

    @Test
    void erlangsFormulaAsInItsTables() {
        assertEquals(0.5, Fluid.erlangB(1, 1), 1e-12);
        assertEquals(0.2, Fluid.erlangB(1, 2), 1e-12);
        assertEquals(0.21458, Fluid.erlangB(10, 10), 1e-4);
        assertEquals(0, Fluid.erlangB(0, 3), 0);
        double between = Fluid.erlangB(10, 10.5);
        assertTrue(between < Fluid.erlangB(10, 10) && between > Fluid.erlangB(10, 11));
        assertTrue(Fluid.erlangB(5000, 5000) > 0 && Fluid.erlangB(10, 100_000) < 1e-12, "large ones don't overflow");
    }

    @Test
    void theWorstMomentOfATrace() throws Exception {
        Demand.Gatherer trace = new Demand.Gatherer();
        for (int i = 0; i < 100; i++) {
            trace.add(i * SECOND, 10 * SECOND, "a", "p");
        }
        for (int i = 0; i < 20; i++) {
            trace.add(50 * SECOND + i * SECOND / 10, 5 * SECOND, "b", "q");
        }
        Demand worst = trace.worst();
        assertEquals(30, worst.count(), 1);
        assertEquals(20, worst.playing().stream().filter(w -> w.title().equals("b")).findFirst().orElseThrow().count());
        assertEquals(Map.of("p", 100 / 120.0, "q", 20 / 120.0).get("q"), worst.shares().get("q"), 1e-9);
        assertEquals(3, worst.arrivals(), 0.2, "ten and twenty in the ten seconds round it");
        assertEquals(2 * worst.count(), worst.times(2).count(), 1e-9);
    }

    @Test
    void aTraceTooShortForItsPlaybacksIsRefused() {
        Demand.Gatherer trace = new Demand.Gatherer();
        trace.add(0, 600 * SECOND, "a", "p");
        trace.add(30 * SECOND, 600 * SECOND, "a", "p");
        String why = assertThrows(Demand.Unsupported.class, trace::worst).getMessage();
        assertTrue(why.contains("30 s") && why.contains("600 s"), why);
        assertThrows(Demand.Unsupported.class, new Demand.Gatherer()::worst);
    }

    @Test
    void aGoalIsReachedOnlyIfBothSharesAre() {
        Goal goal = new Goal(0.9, 0.8);
        assertEquals(1, goal.reached(0.9, 0.95), 1e-12);
        assertEquals(0.5, goal.reached(1, 0.4), 1e-12);
        assertTrue(goal.reached(0.89, 1) < 1);
    }

    @Test
    void aLossIsATroubleThatADayTakesAndLeavesTimeForTheReturn() {
        String text = cypressvalve.lab.DayText.troubles(DAY.replace("UPLINK", "0").replace("COPIES", "3").replace("ZIPF",
            "0").replace("SEATS", "0").replace("PLACES", "50"), List.of(new Loss(0.25).trouble(60 * SECOND)));
        Doc doc = Doc.parse("plan", text);
        DayScript day = DayScript.read(doc);
        doc.verify();
        assertEquals(1, day.troubles().size());
        assertEquals(24 * SECOND, day.troubles().get(0).at());
        assertEquals(42 * SECOND, day.troubles().get(0).end());
        assertEquals(0.25, day.troubles().get(0).part());
    }

    @Test
    void theLeastNumberOfHostsUnderNoise() {
        LeastHosts.Answer exact = LeastHosts.search(1, 100, n -> new LeastHosts.Service(n / 100.0, 0), 0.37);
        assertEquals(37, exact.least());
        assertEquals(37, exact.sure());
        assertTrue(exact.tried().size() <= 16, "halves, not every count: " + exact.tried());
        LeastHosts.Answer noisy = LeastHosts.search(1, 100, n -> new LeastHosts.Service(n / 100.0, 0.05), 0.37);
        assertEquals(32, noisy.least());
        assertEquals(42, noisy.sure());
        LeastHosts.Answer never = LeastHosts.search(1, 10, n -> new LeastHosts.Service(0.2, 0.01), 0.9);
        assertEquals(0, never.sure());
        assertEquals(LeastHosts.Verdict.MISSES, never.tried().get(10));
        assertEquals(List.of(10), List.copyOf(never.tried().keySet()), "if the most misses, fewer are not tried");
    }
}
