package cypressvalve.planner;

import cypressvalve.trouble.DayScript;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * The day with more viewers: so many times its rate, with other titles' weights, or with an announced event. Free of
 * I/O; what comes out are fields of a day's script.
 *
 * @param times the usual rate
 * @param zipf how unevenly titles are wanted, not a number to leave it
 * @param event viewers of an event, 0 for none
 * @param over seconds in which these come
 */
public record Growth(double times, double zipf, double event, double over) {
    /** An event comes when sessions of before have mostly ended, like a {@link Loss}. */
    private static final double FROM = 0.4;

    /** The fields that change, by path. */
    public Map<String, String> settings(DayScript day) {
        Map<String, String> all = new LinkedHashMap<>();
        all.put("viewers.rate", String.format(Locale.ROOT, "%.4f", day.viewers().rate() * times));
        all.put("viewers.at-start", "" + Math.round(day.viewers().atStart() * times));
        if (!Double.isNaN(zipf)) {
            all.put("titles.zipf", String.format(Locale.ROOT, "%.3f", zipf));
        }
        return all;
    }

    /**
     * The event as troubles: a burst, in which as many as the event brings want one title. The title is the least
     * wanted of the day, as an event is a title that nobody watched before.
     */
    public List<Map<String, Object>> troubles(DayScript day) {
        double usual = day.viewers().rate() * times;
        if (event <= 0 || usual <= 0) {
            return List.of();
        }
        double more = event / over;
        String at = Math.round(day.length() * FROM / 1000) + "us";
        String length = Math.round(over * 1e6) + "us";
        return List.of(Map.of("kind", "burst", "at", at, "length", length, "size", (usual + more) / usual),
            Map.of("kind", "hot-key", "at", at, "length", length, "size", more / (usual + more), "extra", 1));
    }

    /** What is wanted at the event's height, by the estimate: the day's own, and the event's crowd on one title. */
    public Demand demand(DayScript day, Demand usual) {
        Demand grown = usual.times(times);
        if (event <= 0) {
            return grown;
        }
        String last = null;
        String plan = null;
        for (Demand.Wanted w : grown.playing()) {
            boolean live = day.service().plans().get(w.plan()).live();
            if (last == null || live) {
                last = day.service().titles().values().stream().filter(t -> t.live() == live)
                    .reduce((a, b) -> b).orElseThrow().key();
                plan = w.plan();
            }
        }
        List<Demand.Wanted> all = new java.util.ArrayList<>(grown.playing());
        // Those who came early have left again if the event's crowd takes longer to come than viewers stay.
        double length = day.viewers().length() / 1e9;
        all.add(new Demand.Wanted(last, plan, event * Math.min(1, length / over)));
        return new Demand(all, grown.arrivals() + event / over, grown.shares(), grown.seen(), grown.longest());
    }
}
