package cypressvalve.cli;

import cypressvalve.config.Doc;
import cypressvalve.load.Facts;
import cypressvalve.load.Ids;
import cypressvalve.load.Importer;
import cypressvalve.load.make.SourceMaker;
import cypressvalve.load.map.Mapping;
import cypressvalve.load.sessions.Played;
import cypressvalve.load.trace.TraceEdit;
import cypressvalve.load.trace.TraceReader;
import cypressvalve.load.trace.wire.Header;
import cypressvalve.trouble.DayScript;
import java.io.IOException;
import java.io.InputStream;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** Captures and logs as load. */
@Command(name = "load", mixinStandardHelpOptions = true, description = "HAR files and access logs as load.",
    subcommands = {LoadCommand.Import.class, LoadCommand.Show.class, LoadCommand.Cut.class, LoadCommand.Thin.class,
        LoadCommand.Multiply.class, LoadCommand.Shift.class, LoadCommand.Join.class, LoadCommand.Make.class,
        ReplayCommand.class, ReportCommand.class})
final class LoadCommand implements Runnable {
    @Spec
    private CommandSpec spec;

    @Override
    public void run() {
        throw new ParameterException(spec.commandLine(), "a command is needed, such as import, show or replay");
    }

    static String own() throws IOException {
        try (InputStream in = LoadCommand.class.getResourceAsStream("/load/own.yaml")) {
            return new String(in.readAllBytes(), StandardCharsets.UTF_8);
        }
    }

    /** Nanoseconds of a text such as 500ms or 2s; usage errors otherwise. */
    static long time(CommandSpec spec, String option, String text) {
        Doc doc = Doc.parse(option, "t: " + text);
        long time = doc.root().time("t");
        try {
            doc.verify();
        } catch (cypressvalve.config.BadSettings e) {
            throw new ParameterException(spec.commandLine(), option + ": expected a time such as 500ms or 2s, not '"
                + text + "'");
        }
        return time;
    }

    /** From sources to a trace. */
    @Command(name = "import", mixinStandardHelpOptions = true,
        description = "Makes a trace of HAR files or access logs, by a mapping.")
    static final class Import implements Callable<Integer> {
        @Parameters(arity = "1..*", paramLabel = "[SERVER=]FILE",
            description = "files, plain or gzip, in any order; those of one server after its name")
        private List<String> files;

        @Option(names = "--map", paramLabel = "MAP", description = "the mapping (YAML); left out: our own access logs")
        private Path map;

        @Option(names = {"-o", "--out"}, required = true, paramLabel = "TRACE", description = "the trace to write")
        private Path out;

        @Option(names = "--key", paramLabel = "FILE",
            description = "hash viewers' ids with this key (32 bytes or more), so that nobody without it can guess them")
        private Path key;

        @Option(names = "--accept-bad", description = "write the trace however many lines are bad")
        private boolean acceptBad;

        @Spec
        private CommandSpec spec;

        @Override
        public Integer call() throws IOException {
            String text = map == null ? own() : Files.readString(map);
            Doc doc = Doc.parse(map == null ? "own.yaml" : map.toString(), text);
            Mapping mapping = Mapping.read(doc);
            doc.verify();
            Map<String, List<Path>> servers = new LinkedHashMap<>();
            for (String named : files) {
                int is = named.indexOf('=');
                boolean server = is > 0 && !Files.exists(Path.of(named));
                Path file = Path.of(server ? named.substring(is + 1) : named);
                if (!Files.isReadable(file) || Files.isDirectory(file)) {
                    throw new Commands.Refusal(file + ": no such file, or not readable");
                }
                servers.computeIfAbsent(server ? named.substring(0, is) : "", k -> new ArrayList<>()).add(file);
            }
            Importer importer = key == null ? new Importer(mapping, text, Ids.plain(), "hash")
                : new Importer(mapping, text, Ids.keyed(key()), "keyed " + key.getFileName());
            PrintWriter err = spec.commandLine().getErr();
            Header header;
            try {
                header = importer.run(servers, out, acceptBad, share -> {
                    err.print(String.format(Locale.ROOT, "%s%3.0f %% read, %d lines%s",
                        System.console() == null ? "" : "\r", share * 100, importer.tally().lines(),
                        System.console() == null ? System.lineSeparator() : ""));
                    err.flush();
                });
            } finally {
                if (System.console() != null) {
                    err.println();
                }
            }
            PrintWriter to = spec.commandLine().getOut();
            importer.tally().examples().forEach(e -> err.println("bad: " + e));
            print(to, header);
            importer.offsetsUsed().forEach((server, offset) -> {
                if (offset != 0) {
                    to.println("clock of " + server + ": " + offset / 1_000_000 + " ms added");
                }
            });
            long[] strains = importer.strains();
            to.printf("held open at most %d, ended early %d, viewers moved %d, lines let go early %d%n", strains[2],
                strains[0], strains[1], strains[3]);
            to.flush();
            return 0;
        }

        private byte[] key() throws IOException {
            byte[] bytes = Files.readAllBytes(key);
            if (bytes.length < Ids.LEAST_KEY_BYTES) {
                throw new Commands.Refusal(key + ": expected " + Ids.LEAST_KEY_BYTES + " bytes or more");
            }
            return bytes;
        }
    }

    static void print(PrintWriter to, Header header) {
        Instant begins = Instant.ofEpochSecond(0, header.getBegins());
        to.printf(Locale.ROOT, "from %s for %.3f s, ids by %s%n", begins, header.getSpan() / 1e9, header.getIds());
        header.getSourcesList().forEach(s -> to.println("source " + s.getName() + ", " + s.getBytes() + " bytes"));
        long aside = header.getAsideMap().values().stream().mapToLong(Long::longValue).sum();
        to.printf("lines %d = used %d + set aside %d + bad %d%n", header.getLines(), header.getUsed(), aside,
            header.getBad());
        header.getAsideMap().entrySet().stream().sorted(Map.Entry.comparingByKey())
            .forEach(e -> to.printf("  set aside, %s: %d%n", e.getKey(), e.getValue()));
        header.getGapsList().forEach(g -> to.printf(Locale.ROOT, "%s from %s to %s (%.1f s), %d playing, %d came back%n",
            g.getKind(), Instant.ofEpochSecond(0, g.getFrom()), Instant.ofEpochSecond(0, g.getTo()),
            (g.getTo() - g.getFrom()) / 1e9, g.getPlaying(), g.getCameBack()));
        header.getStepsList().forEach(s -> to.println("then: " + s));
        to.printf("playbacks %d, requests to watch %d%n", header.getPlaybacks(), header.getTries());
    }

    /** What a trace holds. */
    @Command(name = "show", mixinStandardHelpOptions = true, description = "Tells what is in a trace.")
    static final class Show implements Callable<Integer> {
        @Parameters(paramLabel = "TRACE", description = "a trace as import writes it")
        private Path trace;

        @Option(names = "--titles", defaultValue = "10", paramLabel = "N",
            description = "titles shown (default ${DEFAULT-VALUE})")
        private int titles;

        @Option(names = "--html", paramLabel = "FILE", description = "also draw it, as a page in one file")
        private Path html;

        @Spec
        private CommandSpec spec;

        @Override
        public Integer call() throws IOException {
            Facts facts = new Facts();
            Header header;
            try (TraceReader in = TraceReader.open(trace)) {
                header = in.header();
                for (Played p = in.next(); p != null; p = in.next()) {
                    facts.add(p);
                }
            }
            PrintWriter out = spec.commandLine().getOut();
            print(out, header);
            out.print(facts.table(titles));
            out.flush();
            if (html != null) {
                cypressvalve.load.report.TracePage.write(html, trace.getFileName().toString(), header, facts);
            }
            return 0;
        }
    }

    /** What all edits share. */
    abstract static class Edit implements Callable<Integer> {
        @Parameters(index = "0", paramLabel = "TRACE", description = "the trace to work from")
        Path trace;

        @Option(names = {"-o", "--out"}, required = true, paramLabel = "TRACE", description = "the trace to write")
        Path out;

        @Spec
        CommandSpec spec;

        abstract void edit() throws IOException;

        @Override
        public Integer call() throws IOException {
            edit();
            try (TraceReader in = TraceReader.open(out)) {
                print(spec.commandLine().getOut(), in.header());
                spec.commandLine().getOut().flush();
            }
            return 0;
        }
    }

    /** A source made up, for trying things out. */
    @Command(name = "make", mixinStandardHelpOptions = true,
        description = "Makes up a log or HAR file from a seed, with what goes wrong in real ones, and its mapping.")
    static final class Make implements Callable<Integer> {
        @Parameters(paramLabel = "FILE", description = "the file to write; gzip if it ends in .gz")
        private Path file;

        @Option(names = "--form", defaultValue = "nginx", paramLabel = "FORM",
            description = "nginx, combined, apache, w3c, json or har (default ${DEFAULT-VALUE})")
        private String form;

        @Option(names = "--day", paramLabel = "DAY", description = "the day whose titles and plans viewers want")
        private Path day;

        @Option(names = "--seed", defaultValue = "1", paramLabel = "N", description = "default ${DEFAULT-VALUE}")
        private long seed;

        @Option(names = "--span", defaultValue = "10m", paramLabel = "TIME", description = "default ${DEFAULT-VALUE}")
        private String span;

        @Option(names = "--rate", defaultValue = "5", paramLabel = "N",
            description = "viewers a second (default ${DEFAULT-VALUE})")
        private double rate;

        @Option(names = "--viewers", defaultValue = "2147483647", paramLabel = "N", description = "viewers at most")
        private int viewers;

        @Option(names = "--length", defaultValue = "40s", paramLabel = "TIME",
            description = "that one watches on average (default ${DEFAULT-VALUE})")
        private String length;

        @Option(names = "--lost-at", paramLabel = "TIME", description = "lines are lost from then on for --lost-for")
        private String lostAt;

        @Option(names = "--lost-for", defaultValue = "60s", paramLabel = "TIME",
            description = "default ${DEFAULT-VALUE}")
        private String lostFor;

        @Option(names = "--leap-at", paramLabel = "TIME", description = "the clock is set forward then, by --leap-by")
        private String leapAt;

        @Option(names = "--leap-by", defaultValue = "1h", paramLabel = "TIME",
            description = "default ${DEFAULT-VALUE}")
        private String leapBy;

        @Option(names = "--bad", defaultValue = "0", paramLabel = "SHARE", description = "bad lines beside the good")
        private double bad;

        @Option(names = "--strange", defaultValue = "0", paramLabel = "SHARE",
            description = "requests for unknown plans beside the good")
        private double strange;

        @Option(names = "--swapped", defaultValue = "0s", paramLabel = "TIME", description = "lines are up to so late")
        private String swapped;

        @Option(names = "--map", paramLabel = "FILE", description = "also write the mapping that reads it")
        private Path map;

        @Spec
        private CommandSpec spec;

        @Override
        public Integer call() throws IOException {
            if (!SourceMaker.forms().contains(form)) {
                throw new ParameterException(spec.commandLine(), "--form: expected one of "
                    + String.join(", ", SourceMaker.forms()));
            }
            DayScript script = Scripts.day(day);
            long lost = lostAt == null ? 0 : time(spec, "--lost-at", lostAt);
            SourceMaker.Truth truth = SourceMaker.make(file, form, script.service(), seed, time(spec, "--span", span),
                rate, viewers, time(spec, "--length", length), new SourceMaker.Faults(lost,
                    lostAt == null ? 0 : lost + time(spec, "--lost-for", lostFor),
                    leapAt == null ? 0 : time(spec, "--leap-at", leapAt),
                    leapAt == null ? 0 : time(spec, "--leap-by", leapBy), bad, strange,
                    time(spec, "--swapped", swapped)));
            spec.commandLine().getOut().printf("lines %d, of them bad %d, for unknown plans %d; lost %d; requests to "
                + "watch %d%n", truth.lines(), truth.bad(), truth.strange(), truth.lost(), truth.times().length);
            spec.commandLine().getOut().flush();
            if (map != null) {
                Files.writeString(map, SourceMaker.mapping(form));
            }
            return 0;
        }
    }

    /** A part of a trace in time. */
    @Command(name = "cut", mixinStandardHelpOptions = true, description = "Keeps what begins in a span of time.")
    static final class Cut extends Edit {
        @Option(names = "--from", defaultValue = "0s", paramLabel = "TIME", description = "after the trace's beginning")
        private String from;

        @Option(names = "--for", required = true, paramLabel = "TIME", description = "how long")
        private String length;

        @Override
        void edit() throws IOException {
            long begin = time(spec, "--from", from);
            TraceEdit.cut(trace, out, begin, begin + time(spec, "--for", length));
        }
    }

    /** A share of a trace. */
    @Command(name = "thin", mixinStandardHelpOptions = true, description = "Keeps a share of the viewers.")
    static final class Thin extends Edit {
        @Option(names = "--to", required = true, paramLabel = "SHARE", description = "from 0 to 1")
        private double share;

        @Option(names = "--seed", defaultValue = "1", paramLabel = "N", description = "which (default ${DEFAULT-VALUE})")
        private long seed;

        @Override
        void edit() throws IOException {
            if (!(share >= 0 && share <= 1)) {
                throw new ParameterException(spec.commandLine(), "--to: expected a number from 0 to 1");
            }
            TraceEdit.thin(trace, out, share, seed);
        }
    }

    /** A multiple of a trace. */
    @Command(name = "multiply", mixinStandardHelpOptions = true,
        description = "Makes several viewers of each; bursts and titles' ranks stay.")
    static final class Multiply extends Edit {
        @Option(names = "--by", required = true, paramLabel = "N", description = "2 or more")
        private int by;

        @Option(names = "--seed", defaultValue = "1", paramLabel = "N",
            description = "where in their seconds (default ${DEFAULT-VALUE})")
        private long seed;

        @Override
        void edit() throws IOException {
            if (by < 1 || by > 1000) {
                throw new ParameterException(spec.commandLine(), "--by: expected a whole number from 1 to 1000");
            }
            TraceEdit.multiply(trace, out, by, seed);
        }
    }

    /** A trace at another time. */
    @Command(name = "shift", mixinStandardHelpOptions = true, description = "Lets a trace begin at another time.")
    static final class Shift extends Edit {
        @Option(names = "--later", paramLabel = "TIME", description = "by so much later")
        private String later;

        @Option(names = "--sooner", paramLabel = "TIME", description = "by so much sooner")
        private String sooner;

        @Override
        void edit() throws IOException {
            if ((later == null) == (sooner == null)) {
                throw new ParameterException(spec.commandLine(), "expected one of --later and --sooner");
            }
            TraceEdit.shift(trace, out, later != null ? time(spec, "--later", later) : -time(spec, "--sooner", sooner));
        }
    }

    /** Two traces in one. */
    @Command(name = "join", mixinStandardHelpOptions = true,
        description = "Takes two traces together; what the first left open goes on in the second.")
    static final class Join extends Edit {
        @Parameters(index = "1", paramLabel = "SECOND", description = "the trace that begins later")
        private Path second;

        @Override
        void edit() throws IOException {
            TraceEdit.join(trace, second, out);
        }
    }
}
