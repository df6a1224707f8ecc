package cypressvalve.cli;

import cypressvalve.config.Doc;
import cypressvalve.load.replay.Names;
import cypressvalve.load.sessions.Played;
import cypressvalve.load.trace.TraceReader;
import cypressvalve.planner.Demand;
import cypressvalve.trouble.DayScript;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Map;

/** Days' scripts as commands name them, or the built-in one. */
final class Scripts {
    private Scripts() {
    }

    /** Reads a day whole; null stands for the built-in one. */
    static DayScript day(Path file) throws IOException {
        return read(file == null ? Doc.parse("default.yaml", builtIn()) : Doc.read(file));
    }

    /** Reads a day from its text. */
    static DayScript read(Doc doc) {
        DayScript day = DayScript.read(doc);
        doc.verify();
        return day;
    }

    static String builtIn() throws IOException {
        try (InputStream in = Scripts.class.getResourceAsStream("/days/default.yaml")) {
            return new String(in.readAllBytes(), StandardCharsets.UTF_8);
        }
    }

    /**
     * What a trace's titles and plans are called in a day's service.
     *
     * @param plans other names for plans
     */
    static Names names(Path trace, Map<String, String> plans, DayScript day) throws IOException {
        Names names = Names.of(trace, plans, day.service());
        if (!names.unknownPlans().isEmpty()) {
            throw new Commands.Refusal(trace + ": plans that the service does not have: "
                + String.join(", ", names.unknownPlans()) + "; name them at import by plans.table, or at load replay by"
                + " --plan. It has " + String.join(", ", day.service().plans().keySet()));
        }
        return names;
    }

    /** What a trace wants at its worst moment; refused if it can't bear an answer. */
    static Demand demand(Path trace, Names names) throws IOException {
        Demand.Gatherer gatherer = new Demand.Gatherer();
        try (TraceReader in = TraceReader.open(trace)) {
            for (Played p = in.next(); p != null; p = in.next()) {
                gatherer.add(p.at(), p.length(), names.title(p), names.plan(p));
            }
        }
        try {
            return gatherer.worst();
        } catch (Demand.Unsupported e) {
            throw new Commands.Refusal(trace + ": " + e.getMessage());
        }
    }

    /** Nothing but errors is logged by commands that print figures, unless asked for. */
    static void quietLogs() {
        if (System.getProperty("cypressvalve.log.level") == null) {
            System.setProperty("cypressvalve.log.level", "ERROR");
        }
    }
}
