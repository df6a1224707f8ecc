package cypressvalve.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cypressvalve.session.ClockBound;
import cypressvalve.trouble.BenchDay;
import cypressvalve.trouble.Crowd;
import cypressvalve.trouble.DayScript;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Settings are checked whole; each fault names its line and field. */
class SettingsTest {
    private static final String GATEWAY = """
        gateway:
          number: 0
          of: 2
          list: http://127.0.0.1:9000/list
        service:
          ladder: [100, 200, 400]
          revenue: [0.3, 0.6, 1]
          plans:
            - {name: plain, startup: 1s, abandon: 2s}
          titles:
            - {key: t, length: 60s, first: 0, copies: 2}
          fleet: {cells: 3, link: 4000, kinds: [{name: std, places: 20}]}
        """;

    private static List<String> faults(String text) {
        Doc doc = Doc.parse("f", text);
        GatewaySettings.read(doc);
        try {
            doc.verify();
            return List.of();
        } catch (BadSettings e) {
            return e.faults();
        }
    }

    @Test
    void aWholeFileIsRead() {
        assertEquals(List.of(), faults(GATEWAY));
    }

    @ParameterizedTest
    @CsvSource(delimiter = '|', value = {
        "number: 0 | number: 2 | f:2: gateway.number: expected a whole number from 0 to 1, not '2'",
        "number: 0 | number: one | f:2: gateway.number: expected a whole number from 0 to 1, not 'one'",
        "of: 2 | off: 2 | f:2: gateway.of: expected a whole number from 1 to 100000, but it is missing",
        "of: 2 | of: [2] | f:3: gateway.of: expected a whole number from 1 to 100000",
        "9000/list | x/list | f:4: gateway.list: expected a URI such as http://127.0.0.1:9000/list",
        "[100, 200, 400] | [100, 400, 200] | f:6: service.ladder: expected rates that rise from rung to rung",
        "[100, 200, 400] | [100, 200, -4] | f:6: service.ladder[2]: expected a number from 0.001 to 1.0E9, not '-4'",
        "[0.3, 0.6, 1] | [0.3, 1] | f:7: service.revenue: expected as many numbers as ladder has rungs (3)",
        "startup: 1s | startup: 1 | f:9: service.plans[0].startup: expected a time such as 500ms or 2s, not '1'",
        "startup: 1s | startup: 3s | f:9: service.plans[0].startup: expected a time over 0 and not over abandon",
        "first: 0 | first: 3 | f:11: service.titles[0].first: expected a whole number from 0 to 2, not '3'",
        "key: t | key: a/b | f:11: service.titles[0].key: expected 1 to 64 letters, digits, '-' or '_'"})
    void aFaultIsToldByLineAndField(String from, String to, String fault) {
        assertTrue(faults(GATEWAY.replace(from, to)).contains(fault), faults(GATEWAY.replace(from, to)).toString());
    }

    @Test
    void allFaultsAreToldAtOnceAndUnknownFieldsAreFaults() {
        List<String> faults = faults(GATEWAY.replace("number: 0", "number: x").replace("cells: 3", "cells: 0")
            .replace("of: 2", "of: 2\n  colour: red"));
        assertEquals(3, faults.stream().filter(f -> f.startsWith("f:2:") || f.startsWith("f:4:")
            || f.startsWith("f:13:")).count(), faults.toString());
    }

    @ParameterizedTest
    @CsvSource(delimiter = '|', value = {"''", "gateway: [", "'a: b: c'", "'- 1'", "'a: 1~a: 2'", "'x: 1~---~y: 2'"})
    void whatIsNoFileOfSettingsIsRefused(String text) {
        Doc doc = Doc.parse("f", text.replace('~', '\n'));
        BadSettings refused = assertThrows(BadSettings.class, doc::verify);
        assertTrue(refused.faults().get(0).matches("f:[0-9]+: .+"), refused.getMessage());
    }

    @Test
    void aClockMayBeOffByAPartOfTheWindowAndNoMore() {
        long window = 1_000_000_000L;
        long most = ClockBound.most(window);
        assertTrue(most > 0 && most < window / 10);
        assertTrue(ClockBound.allows(most, window) && ClockBound.allows(-most, window));
        assertTrue(!ClockBound.allows(most + 1, window) && !ClockBound.allows(-most - 1, window));
    }

    private static final String BENCH = """
        {"site": "s", "kind": "rough", "noise": 5, "length": 50000000, "fam": {"rates": [100, 300, 900],
         "core_kb": 2000, "core_slots": 10, "racks": 4, "uplink_kb": [9000, 8000], "capacity": 20, "life_s": 30,
         "titles": 40, "events": 2, "join": 0.3, "vary": 0.1, "tell": 3000000, "see": 500000, "resume": true,
         "uses": [{"life": 1, "live": false, "scale": 1, "seats": 2, "top": 2},
                  {"life": 1, "live": true, "scale": 0.7, "floor": 1, "top": 2}]},
         "classes": [{"name": "rec", "share": 0.6, "work": 20000, "aim": 1000000, "deadline": 3000000, "worth": 2,
                      "effect": "unsafe"},
                     {"name": "air", "share": 0.4, "work": 20000, "aim": 1000000, "deadline": 3000000,
                      "effect": "safe"}],
         "servers": [SERVERS], "balancers": [{}, {}, {}, {}, {}, {}, {}, {}], "traffic": {"load": 0.6},
         "discovery": {"notice": 2000000, "add": 500000}, "tiers": [{"kinds": [{"name": "std", "cores": 2}],
         "report_how": "probe", "stated_cold": 9000000, "stated_cold_from": 0.4}], "fall_multiple": 2.5,
         "fall_for": 1500000, "drain_grace": 500000, "tenants": [{"name": "north", "share": 1}], "troubles": [
         {"kind": "crash", "at": 5000000, "len": 9000000, "size": 1, "extra": 0, "on": [1, 2, 3, 4, 5, 6, 7, 8]},
         {"kind": "peer_down", "at": 5000000, "len": 9000000, "size": 1, "extra": 0, "on": []},
         {"kind": "burst", "at": 9000000, "len": 3000000, "size": 2.2, "extra": 1, "on": []}]}
        """.replace("SERVERS", "{}" + ", {}".repeat(39));

    @Test
    void aBenchDayBecomesAScriptWithTheSamePartsAndSizes() throws BenchDay.NotADay {
        BenchDay.Converted converted = BenchDay.convert("day.json", BENCH, 10, 3);
        Doc doc = Doc.parse("converted", converted.script());
        DayScript day = DayScript.read(doc);
        doc.verify();
        assertEquals(10, day.hosts().count());
        assertEquals(3, day.gateways().count());
        assertEquals(2, day.troubles().size());
        assertEquals(0.2, day.troubles().get(0).part(), 1e-9);
        assertEquals(2.2, day.troubles().get(1).size(), 1e-9);
        assertEquals(20 * 0.6 / 4, day.viewers().rate(), 1e-6);
        assertTrue(converted.leftOut().stream().anyMatch(l -> l.startsWith("trouble peer_down")));
        assertEquals(cypressvalve.model.Plan.Effect.ONCE, day.service().plans().get("rec").effect());
        assertEquals(1, day.service().plans().get("air").floor());
    }

    @ParameterizedTest
    @CsvSource(delimiter = '|', value = {"[]", "{}", "{\"fam\": 1", "''"})
    void whatIsNoBenchDayIsRefusedWithItsLine(String text) {
        BenchDay.NotADay refused = assertThrows(BenchDay.NotADay.class,
            () -> BenchDay.convert("day.json", text, 10, 3));
        assertTrue(refused.getMessage().matches("(?s)day.json:[0-9]+: .*expected.*"), refused.getMessage());
    }

    @Test
    void theSameDayDrawsTheSameCrowd() throws BenchDay.NotADay {
        Doc doc = Doc.parse("converted", BenchDay.convert("day.json", BENCH, 10, 3).script());
        DayScript day = DayScript.read(doc);
        assertEquals(Crowd.of(day), Crowd.of(day));
        assertTrue(Crowd.of(day).size() > 100);
    }
}
