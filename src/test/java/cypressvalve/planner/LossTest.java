package cypressvalve.planner;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cypressvalve.config.BadSettings;
import cypressvalve.config.Doc;
import cypressvalve.lab.DayText;
import cypressvalve.lab.Trials;
import cypressvalve.trouble.Crowd;
import cypressvalve.trouble.DayScript;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Losses, the order and time of return, when service is whole again, what is short, and growth. */
class LossTest {
    private static final String DAY = """
        day: {name: loss, seed: 1, length: 40s}
        gateways: {count: 4}
        hosts: {count: 12, link: 1000, uplink: 6000, cores: 2, work: 20ms, zones: 2, add: 1s}
        titles: {recorded: 3, copies: 2, zipf: 0.8, length: 60s}
        viewers: {rate: 8, length: 10s, plans: {plain: 1}}
        service:
          ladder: [40, 80, 160]
          revenue: [0.3, 0.6, 1]
          plans: [{name: plain, startup: 1s, abandon: 3s, seats: 50}]
          titles: []
          fleet: {cells: 12, racks: 4, link: 1000, uplink: 6000, kinds: [{name: std, places: 40}]}
          rules: {cold: {time: 8s, share: 0.4, multiple: 2.5, window: 1500ms}}
        """;

    private static DayScript day(String text) {
        Doc doc = Doc.parse("loss", text);
        DayScript day = DayScript.read(doc);
        doc.verify();
        return day;
    }

    private final DayScript day = day(DAY);
    private final Demand demand = Fleet.demand(day);

    @Test
    void zonesRacksAndPartsNameTheirHosts() throws Exception {
        assertEquals(List.of(1, 5, 9), LossCase.rack(day, 1, demand).hosts());
        assertEquals(List.of(0, 2, 4, 6, 8, 10), LossCase.zone(day, 0, demand).hosts());
        assertEquals(List.of(0, 2), LossCase.zone(day, 0, demand).gateways());
        assertEquals(List.of(0, 4, 8), LossCase.part(day, 0.25).hosts());
        assertEquals(List.of(0), LossCase.gateways(day, 0.1).gateways(), "one at least");
        assertThrows(LossCase.Impossible.class, () -> LossCase.rack(day, 4, demand));
        assertThrows(LossCase.Impossible.class, () -> LossCase.zone(day(DAY.replace("zones: 2, ", "")), null, demand));
    }

    @Test
    void theWorstRackIsTheOneWhoseTitlesLoseMostHolders() throws Exception {
        LossCase worst = LossCase.rack(day, null, demand);
        double left = Fluid.without(Fleet.of(day), demand, worst.hosts()).first().until();
        for (int rack = 0; rack < 4; rack++) {
            assertTrue(left <= Fluid.without(Fleet.of(day), demand, LossCase.rack(day, rack, demand).hosts()).first()
                .until() + 1e-12);
        }
    }

    @Test
    void lostHostsLeaveTheEstimateTheRest() {
        Fluid.Use links = links(Fluid.of(Fleet.of(day), demand));
        Fluid.Use left = links(Fluid.without(Fleet.of(day), demand, List.of(0, 4, 8)));
        assertEquals(links.low() * 12 / 9, left.low(), 1e-9);
        assertEquals(Double.POSITIVE_INFINITY, 1 / Math.max(0, Fluid.without(Fleet.of(day), demand,
            IntStream.range(0, 12).boxed().toList()).rungShare()), "nothing fits where no host is left");
    }

    @Test
    void lostGatewaysLeaveTheirViewersToTheOthersSeats() {
        Fleet fleet = Fleet.of(day);
        double all = seats(Fluid.of(fleet, demand));
        assertEquals(all * 2, seats(Fluid.of(fleet.gateways(2), demand)), 1e-9);
        assertEquals(all * 4, seats(Fluid.of(fleet.gateways(0), demand)), 1e-9, "one at least");
    }

    private static double seats(Fluid.Estimate e) {
        return e.uses().stream().filter(u -> u.resource() == Fluid.Resource.SEATS).findFirst().orElseThrow().low();
    }

    private static Fluid.Use links(Fluid.Estimate e) {
        return e.uses().stream().filter(u -> u.resource() == Fluid.Resource.LINKS).findFirst().orElseThrow();
    }

    @Test
    void aHostThatAloneHoldsAWantedTitleComesBackFirst() {
        // Each title has two holders in a row: with both lost, one of them is the first.
        String top = day.service().titles().values().iterator().next().key();
        int first = day.service().titles().get(top).first();
        List<Integer> lost = List.of(first, (first + 1) % 12, (first + 5) % 12, (first + 8) % 12);
        ReturnPlan back = ReturnPlan.of(day, demand, lost, 4, 2);
        assertEquals(4, back.starts().size());
        assertTrue(List.of(first, (first + 1) % 12).contains(back.starts().get(0).host()), back.starts().toString());
        assertTrue(back.starts().get(0).why().contains("nobody living holds"), back.starts().toString());
        assertEquals(List.of(4.0, 6.0, 8.0, 10.0), back.starts().stream().map(ReturnPlan.Start::at).toList());
        assertEquals(lost.stream().sorted().toList(), back.starts().stream().map(ReturnPlan.Start::host).sorted().toList());
    }

    @Test
    void whatDelaysTheReturnIsTold() {
        assertEquals(ReturnPlan.Delay.NOTHING, ReturnPlan.of(day, demand, List.of(0), 4, 0).delayedBy(),
            "the living carry it all");
        List<Integer> most = IntStream.range(0, 10).boxed().toList();
        Demand heavy = demand.times(2.5);
        ReturnPlan slow = ReturnPlan.of(day, heavy, most, 2, 10);
        assertEquals(ReturnPlan.Delay.STARTS, slow.delayedBy(), "at " + slow.wholeAt());
        ReturnPlan together = ReturnPlan.of(day, heavy, most, 2, 0);
        assertTrue(together.wholeAt() < slow.wholeAt(), together.wholeAt() + " " + slow.wholeAt());
        assertTrue(together.wholeAt() >= 3, "the list's word takes a second after the start");
        DayScript few = day(DAY.replace("places: 40", "places: 6"));
        assertEquals(ReturnPlan.Delay.SETUP_PACE, ReturnPlan.of(few, heavy, most, 2, 0).delayedBy());
        assertTrue(Double.isNaN(ReturnPlan.of(day, demand.times(50), most, 2, 0).wholeAt()), "never, however long");
    }

    @Test
    void aLossIsADayThatARehearsalCanRun() {
        LossCase lost = LossCase.part(day, 0.25);
        ReturnPlan back = ReturnPlan.of(day, demand, lost.hosts(), 3, 1);
        DayScript with = day(DayText.troubles(DAY, lost.troubles(back, 16, 3)));
        assertEquals(3, with.troubles().size());
        back.starts().forEach(s -> assertTrue(with.troubles().stream().anyMatch(t -> t.only().equals(List.of(s.host()))
            && t.at() == 16_000_000_000L && t.end() == (long) ((16 + s.at()) * 1e9))));
        DayScript list = day(DayText.troubles(DAY, LossCase.list(day, 0.25).troubles(back, 16, 3)));
        assertEquals(4, list.troubles().size());
        DayScript gateways = day(DayText.troubles(DAY, LossCase.gateways(day, 0.5).troubles(
            ReturnPlan.of(day, demand, List.of(), 3, 0), 16, 3)));
        assertEquals(List.of(0, 2), gateways.troubles().get(0).only());
    }

    @Test
    void numbersThatAreNotThereAreFaultsOfTheDay() {
        for (String only : List.of("[12]", "[0.5]", "[1, 1]", "[]")) {
            assertThrows(BadSettings.class, () -> day(DAY + "troubles: [{kind: crash, at: 1s, length: 2s, only: " + only
                + "}]\n"), only);
        }
        assertThrows(BadSettings.class, () -> day(DAY + "troubles: [{kind: burst, at: 1s, length: 2s, size: 2, "
            + "only: [0]}]\n"), "a burst strikes no host");
        assertEquals(List.of(3), day(DAY + "troubles: [{kind: origin-slow, at: 1s, length: 2s, size: 2, only: [3]}]\n")
            .troubles().get(0).only());
    }

    @Test
    void aLossMustFitTheDay() {
        assertEquals(16, Loss.at(40, 8), 1e-9);
        assertEquals(40 - 14 * 1.75, Loss.at(40, 14), 1e-9);
        assertTrue(Double.isNaN(Loss.at(40, 20)));
        assertEquals(Loss.needs(20), 20 * 1.75 / 0.8, 1e-9);
    }

    private static List<Recovery.Point> course(double... service) {
        List<Recovery.Point> all = new ArrayList<>();
        for (int i = 0; i < service.length; i++) {
            all.add(new Recovery.Point(i, service[i], 400));
        }
        return all;
    }

    @Test
    void serviceIsWholeWhenItStaysSo() {
        Recovery r = Recovery.of(course(1, 1, 1, 1, 0.5, 0.6, 0.99, 0.7, 1, 0.99, 1, 1), 4, 7);
        assertEquals(1, r.before(), 1e-9);
        assertEquals(0.5, r.during(), 1e-9);
        assertEquals(8, r.wholeAt(), 1e-9, "one good second among bad ones is chance");
        assertTrue(r.after() > 0.99);
        Recovery never = Recovery.of(course(1, 1, 1, 0.5, 0.6, 0.6, 0.6, 1, 1), 3, 5);
        assertTrue(Double.isNaN(never.wholeAt()), "two seconds are too few");
        assertEquals((0.6 + 1 + 1) / 3, never.after(), 1e-9);
    }

    @Test
    void whatIsShortIsWhatBringsMostForSure() {
        Shortage.Gain links = new Shortage.Gain("links", 0.05, 0.01, 0.1, 0.05);
        Shortage.Gain copies = new Shortage.Gain("copies", 0.047, 0.012, 0, 0.05);
        Shortage.Gain noisy = new Shortage.Gain("gateways", 0.2, 0.3, 0, 0.05);
        Shortage.Gain places = new Shortage.Gain("places", 0.01, 0.002, 0.4, 0.05);
        Shortage s = Shortage.of(0.9, List.of(places, copies, links, noisy));
        assertEquals(List.of("links", "copies"), s.first(), "those two can't be told apart, the noisy one is not sure");
        assertEquals("gateways", s.ranked().get(0).relief());
        assertEquals(Shortage.Figure.RUNG, Shortage.of(0.999, List.of(links, places)).by());
        assertEquals(List.of("places"), Shortage.of(0.999, List.of(links, places)).first());
        assertTrue(Shortage.of(0.9, List.of(noisy)).first().isEmpty());
        assertTrue(s.agrees(Shortage.largest(0.9, List.of(copies, places))));
        assertFalse(s.agrees(Shortage.largest(0.9, List.of(places))));
        assertTrue(Shortage.of(1, List.of()).agrees(Shortage.largest(1, List.of(noisy.service() > 1 ? noisy
            : new Shortage.Gain("x", 0, 0, 0, 0)))));
    }

    @Test
    void oneRunAloneProvesNothing() {
        Trials trials = new Trials(DAY, 7, 1, d -> d, Crowd::of, (a, b) -> { });
        List<Trials.Run> base = trials.runs("base", Map.of("day.length", "5s"), null);
        List<Shortage.Gain> gains = List.of(Trials.gain("links", base.stream().map(Trials.Run::result).toList(),
            trials.runs("more", Map.of("day.length", "5s", "hosts.link", "2000"), null).stream()
                .map(Trials.Run::result).toList()));
        assertTrue(Shortage.of(0.5, gains).first().isEmpty());
    }

    @Test
    void moreOfEachThingIsADayThatReads() {
        Trials trials = new Trials(DAY, 1, 2, d -> d, Crowd::of, (a, b) -> { });
        List<Relief> all = Relief.all(day);
        assertTrue(all.stream().map(Relief::name).toList().containsAll(List.of("links", "uplinks", "places", "copies",
            "seats", "setup-cores", "warm-up", "setup-pace", "gateways", "list-delay")));
        for (Relief relief : all) {
            DayScript more = trials.day(relief.settings(), null, 1);
            assertFalse(more.equals(trials.day(Map.of(), null, 1)), relief.name());
        }
        assertEquals(52, trials.day(all.stream().filter(r -> r.name().equals("places")).findFirst().orElseThrow()
            .settings(), null, 1).service().fleet().places().get("std"));
    }

    @Test
    void anEventIsACrowdForOneTitle() {
        Growth event = new Growth(2, 0.5, 80, 10);
        DayScript grown = day(DayText.troubles(DayText.with(DAY, event.settings(day), new ArrayList<>()),
            event.troubles(day)));
        assertEquals(16, grown.viewers().rate(), 1e-9);
        assertEquals(0.5, grown.titles().zipf(), 1e-9);
        assertEquals(1.5, grown.troubles().get(0).size(), 1e-9, "8 more a second on 16");
        long during = Crowd.of(grown).stream().filter(c -> c.at() >= 16_000_000_000L && c.at() < 26_000_000_000L).count();
        assertEquals(240, during, 50);
        double last = event.demand(day, demand).playing().stream().filter(w -> w.title().equals("r2"))
            .mapToDouble(Demand.Wanted::count).sum();
        double usual = demand.times(2).playing().stream().filter(w -> w.title().equals("r2"))
            .mapToDouble(Demand.Wanted::count).sum();
        assertEquals(80, last - usual, 1e-9);
        assertTrue(new Growth(1, Double.NaN, 0, 1).troubles(day).isEmpty());
    }

    @Test
    void aForecastAgreesWithinATenthOrItsRange() {
        Forecast f = new Forecast(new Forecast.Range(0.9, 0.02), null, null, null, null, null, List.of());
        assertTrue(f.agrees(0.82, null));
        assertFalse(f.agrees(0.8, null));
        assertTrue(new Forecast.Range(0.5, 0.2).near(0.31, 0.1));
    }
}
