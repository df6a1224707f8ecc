package cypressvalve.planner;

import cypressvalve.config.Service;
import cypressvalve.trouble.DayScript;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * More of one thing: what could be bought or changed, as settings of a day. What a relief brings, beside the same
 * crowds and troubles without it, tells what is short. Free of I/O.
 *
 * @param name what there is more of
 * @param what in words, with the figures
 * @param settings the day's fields and their new values, by path
 */
public record Relief(String name, String what, Map<String, String> settings) {
    /** By so much: enough to show over chance in a few runs, little enough that no second thing runs out instead. */
    private static final double MORE = 1.3;
    /** Copies, warm-up and the list's delay are changed twofold: each is a round number that somebody set. */
    private static final double TWICE = 2;

    /** All that this day's fleet can have more of. */
    public static List<Relief> all(DayScript day) {
        Service s = day.service();
        DayScript.Hosts h = day.hosts();
        List<Relief> all = new ArrayList<>();
        all.add(of("links", "links of " + kb(h.link() * MORE) + " in place of " + kb(h.link()),
            "hosts.link", number(h.link() * MORE), "service.fleet.link", number(s.fleet().linkPerWeight() * MORE)));
        if (h.uplink() > 0) {
            List<String> more = new ArrayList<>(List.of("hosts.uplink", number(h.uplink() * MORE)));
            if (s.fleet().uplink() > 0) {
                more.addAll(List.of("service.fleet.uplink", number(s.fleet().uplink() * MORE)));
            }
            all.add(of("uplinks", "uplinks of " + kb(h.uplink() * MORE) + " in place of " + kb(h.uplink()),
                more.toArray(String[]::new)));
        }
        double places = s.fleet().places().values().iterator().next();
        all.add(of("places", Math.round(places * MORE) + " places a host in place of " + Math.round(places),
            "service.fleet.kinds.0.places", "" + Math.round(places * MORE)));
        int copies = day.titles().copies();
        int most = Math.min(h.count(), s.fleet().cells());
        if (copies < most) {
            int more = (int) Math.min(most, Math.round(copies * TWICE));
            all.add(of("copies", more + " copies of each title in place of " + copies, "titles.copies", "" + more));
        }
        Map<String, String> seats = new LinkedHashMap<>();
        int i = 0;
        for (Service.PlanRow plan : s.plans().values()) {
            if (plan.seats() > 0) {
                seats.put("service.plans." + i + ".seats", "" + (int) Math.ceil(plan.seats() * MORE));
            }
            i++;
        }
        if (!seats.isEmpty()) {
            all.add(new Relief("seats", "three tenths more seats", seats));
        }
        all.add(of("setup-cores", (int) Math.ceil(h.cores() * MORE) + " cores a host in place of " + h.cores(),
            "hosts.cores", "" + (int) Math.ceil(h.cores() * MORE)));
        if (s.rules().coldTime() > 0) {
            all.add(of("warm-up", "hosts warm in half the time", "service.rules.cold.time",
                (long) (s.rules().coldTime() / TWICE) / 1000 + "us"));
            all.add(of("setup-pace", "cold hosts bear " + number(s.rules().fallMultiple() * TWICE)
                + " times their pace in place of " + number(s.rules().fallMultiple()), "service.rules.cold.multiple",
                number(s.rules().fallMultiple() * TWICE)));
        }
        all.add(of("gateways", (int) Math.ceil(day.gateways().count() * MORE) + " gateways in place of "
            + day.gateways().count(), "gateways.count", "" + (int) Math.ceil(day.gateways().count() * MORE)));
        all.add(of("list-delay", "a list that tells in half the time", "hosts.notice",
            (long) (h.notice() / TWICE) / 1000 + "us", "hosts.add", (long) (h.add() / TWICE) / 1000 + "us"));
        return all;
    }

    private static Relief of(String name, String what, String... settings) {
        Map<String, String> all = new LinkedHashMap<>();
        for (int i = 0; i < settings.length; i += 2) {
            all.put(settings[i], settings[i + 1]);
        }
        return new Relief(name, what, all);
    }

    private static String number(double value) {
        return String.format(Locale.ROOT, "%.4f", value).replaceAll("0+$", "").replaceAll("\\.$", "");
    }

    private static String kb(double value) {
        return number(value) + " kB/s";
    }
}
