package cypressvalve.lab;

import cypressvalve.judge.Finding;
import cypressvalve.model.Departure;
import cypressvalve.rehearsal.Summary;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/** What one simulated run came to, as figures by name. */
public record RunResult(String cell, long seed, Map<String, Double> figures) {
    /** The figures that differences are looked for in; the rest is for the record. */
    public static final List<String> COMPARED = List.of("startupMet", "served", "delivered", "rung", "breaks");

    /** How often each of Control's departures acted, to a playback asked for; in front of its name. */
    public static final String DEPARTURE = "departure ";

    static RunResult of(String cell, long seed, Summary summary, Map<Integer, List<Finding>> findings,
        Map<Departure, Long> departures, long events, double wall) {
        Map<String, Double> figures = new LinkedHashMap<>();
        figures.put("startupMet", summary.startupMet());
        figures.put("served", summary.servedShare());
        figures.put("delivered", summary.deliveredShare());
        figures.put("rung", summary.meanRung());
        figures.put("service", summary.startupMet() * summary.deliveredShare());
        figures.put("breaks", summary.breaks() / (double) Math.max(1, summary.viewers()));
        figures.put("viewers", (double) summary.viewers());
        findings.forEach((rule, found) -> figures.put("rule" + rule, (double) found.size()));
        for (Departure what : Departure.values()) {
            figures.put(DEPARTURE + what.name().toLowerCase(Locale.ROOT).replace('_', ' '),
                departures.getOrDefault(what, 0L) / (double) Math.max(1, summary.viewers()));
        }
        figures.put("events", (double) events);
        figures.put("wallSeconds", wall);
        return new RunResult(cell, seed, figures);
    }
}
