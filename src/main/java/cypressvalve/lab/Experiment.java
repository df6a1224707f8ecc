package cypressvalve.lab;

import cypressvalve.config.BadSettings;
import cypressvalve.config.Doc;
import cypressvalve.trouble.DayScript;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * A grid of runs: days, policies, settings of the days, seeds. Each cell is run with the same seeds, so that the same
 * crowds and troubles meet each (common random numbers).
 */
public record Experiment(String name, List<Long> seeds, List<Cell> cells) {
    /**
     * One cell of the grid, whatever its seed.
     *
     * @param script the day's text, its settings put in
     */
    public record Cell(String day, Policy policy, Map<String, String> settings, String script) {
        /** What the cell is called in results and reports. */
        public String name() {
            StringBuilder name = new StringBuilder(day).append(' ')
                .append(policy.name().toLowerCase(Locale.ROOT).replace('_', '-'));
            settings.forEach((key, value) -> name.append(' ').append(key).append('=').append(value));
            return name.toString();
        }

        /** The day with that seed. */
        public DayScript day(long seed) {
            Doc doc = Doc.parse(name(), script);
            DayScript read = DayScript.read(doc);
            doc.verify();
            return read.withSeed(seed);
        }
    }

    /**
     * Reads an experiment and the days that it names, and checks every cell before any runs.
     *
     * @param directory against which days' files are named
     */
    public static Experiment read(Doc doc, Path directory) throws IOException {
        Doc.Section e = doc.root().section("experiment");
        String name = e.text("name");
        Doc.Section s = e.section("seeds");
        long from = s.whole("from", 0, Long.MAX_VALUE / 2, 1);
        long count = s.whole("count", 2, 10_000);
        List<Long> seeds = new ArrayList<>();
        for (long i = 0; i < count; i++) {
            seeds.add(from + i);
        }
        List<String> days = e.texts("days");
        if (days.isEmpty()) {
            e.wrong("days", "one day's file at least");
        }
        List<Policy> policies = new ArrayList<>();
        for (String policy : e.texts("policies")) {
            try {
                policies.add(Policy.valueOf(policy.toUpperCase(Locale.ROOT).replace('-', '_')));
            } catch (IllegalArgumentException wrong) {
                e.wrong("policies", "control, random, least-loaded or plain-hash, not '" + policy + "'");
            }
        }
        if (policies.isEmpty()) {
            policies.add(Policy.CONTROL);
        }
        Doc.Section set = e.optional("set");
        List<Map<String, String>> grid = new ArrayList<>(List.of(Map.of()));
        for (String key : set.keys()) {
            List<Map<String, String>> wider = new ArrayList<>();
            for (Map<String, String> before : grid) {
                for (String value : set.texts(key)) {
                    Map<String, String> more = new LinkedHashMap<>(before);
                    more.put(key, value);
                    wider.add(more);
                }
            }
            grid = wider;
        }
        doc.verify();
        List<Cell> cells = new ArrayList<>();
        List<String> faults = new ArrayList<>();
        for (String day : days) {
            Path file = directory == null ? Path.of(day) : directory.resolve(day);
            String text = Files.readString(file);
            for (Map<String, String> settings : grid) {
                for (Policy policy : policies) {
                    Cell cell = new Cell(file.getFileName().toString(), policy, settings, DayText.with(text, settings, faults));
                    try {
                        cell.day(from);
                    } catch (BadSettings bad) {
                        faults.addAll(bad.faults());
                    }
                    cells.add(cell);
                }
            }
        }
        if (!faults.isEmpty()) {
            throw new BadSettings(faults.stream().distinct().toList());
        }
        return new Experiment(name, seeds, cells);
    }
}
