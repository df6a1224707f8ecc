package cypressvalve.load.source;

import cypressvalve.load.grammar.W3cLexer;
import cypressvalve.load.grammar.W3cParser;
import java.time.DateTimeException;
import java.time.LocalDate;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.antlr.v4.runtime.BailErrorStrategy;
import org.antlr.v4.runtime.CharStreams;
import org.antlr.v4.runtime.CommonTokenStream;
import org.antlr.v4.runtime.misc.ParseCancellationException;

/**
 * W3C extended logs (working draft WD-logfile-960323), whose header lines may change in mid-file. Times are UTC.
 * A quoted text has its quotes doubled; IIS writes spaces as '+' instead.
 */
final class W3cReader implements LineReader {
    private List<Slot> fields;

    @Override
    public String read(String line, HitMaker to) throws BadLine {
        if (line.startsWith("#")) {
            directive(line, to);
            return "header line";
        }
        if (line.isBlank()) {
            return "empty line";
        }
        if (fields == null) {
            throw new BadLine(1, "a #Fields line before the first request");
        }
        int from = 0;
        for (int i = 0; i < fields.size(); i++) {
            if (from > line.length()) {
                throw new BadLine(line.length() + 1, fields.size() + " fields, not " + i);
            }
            boolean quoted = from < line.length() && line.charAt(from) == '"';
            int end = quoted ? closing(line, from + 1) : separator(line, from);
            if (end < 0) {
                throw new BadLine(line.length() + 1, "'\"' at the end of a quoted text");
            }
            String value = quoted ? line.substring(from + 1, end).replace("\"\"", "\"") : line.substring(from, end);
            Slot slot = fields.get(i);
            to.take(slot, plain(slot, value, quoted), from + 1);
            from = quoted ? end + 1 : end;
            if (from < line.length() && line.charAt(from) != ' ' && line.charAt(from) != '\t') {
                throw new BadLine(from + 1, "a space after a quoted text");
            }
            from++;
        }
        if (from <= line.length()) {
            throw new BadLine(from, "the line's end after " + fields.size() + " fields");
        }
        return null;
    }

    private static String plain(Slot slot, String value, boolean quoted) {
        return !quoted && slot.kind() == Slot.Kind.AGENT ? value.replace('+', ' ') : value;
    }

    private static int separator(String line, int from) {
        for (int i = from; i < line.length(); i++) {
            if (line.charAt(i) == ' ' || line.charAt(i) == '\t') {
                return i;
            }
        }
        return line.length();
    }

    private static int closing(String line, int from) {
        for (int i = from; i < line.length(); i++) {
            if (line.charAt(i) == '"') {
                if (i + 1 < line.length() && line.charAt(i + 1) == '"') {
                    i++;
                } else {
                    return i;
                }
            }
        }
        return -1;
    }

    private void directive(String line, HitMaker to) throws BadLine {
        W3cLexer lexer = new W3cLexer(CharStreams.fromString(line));
        lexer.removeErrorListeners();
        W3cParser parser = new W3cParser(new CommonTokenStream(lexer));
        parser.removeErrorListeners();
        parser.setErrorHandler(new BailErrorStrategy());
        W3cParser.LineContext read;
        try {
            read = parser.line();
        } catch (ParseCancellationException e) {
            // Remarks and software names are free text; only what is read here must be well-formed.
            if (line.startsWith("#Fields") || line.startsWith("#Date")) {
                throw new BadLine(1, "#Fields: or #Date: and its values");
            }
            return;
        }
        switch (read.NAME().getText().toLowerCase(Locale.ROOT)) {
            case "fields" -> {
                List<Slot> next = new ArrayList<>();
                for (W3cParser.ValueContext value : read.value()) {
                    next.add(slot(value.getText()));
                }
                if (next.stream().noneMatch(s -> s.kind() == Slot.Kind.TIME_OF_DAY)) {
                    throw new BadLine(1, "#Fields with time");
                }
                if (next.stream().noneMatch(s -> s.kind() == Slot.Kind.PATH || s.kind() == Slot.Kind.URI)) {
                    throw new BadLine(1, "#Fields with cs-uri-stem or cs-uri");
                }
                fields = next;
            }
            case "date" -> {
                String text = line.substring(line.indexOf(':') + 1).trim();
                try {
                    to.day(LocalDate.parse(text.length() > 10 ? text.substring(0, 10) : text));
                } catch (DateTimeException e) {
                    throw new BadLine(line.indexOf(':') + 2, "a date such as 2026-03-29");
                }
            }
            default -> { }
        }
    }

    private static Slot slot(String name) {
        return switch (name.toLowerCase(Locale.ROOT)) {
            case "date" -> Slot.of(Slot.Kind.DATE);
            case "time" -> Slot.of(Slot.Kind.TIME_OF_DAY);
            case "c-ip" -> Slot.of(Slot.Kind.ADDRESS);
            case "cs-method" -> Slot.of(Slot.Kind.METHOD);
            case "cs-uri" -> Slot.of(Slot.Kind.URI);
            case "cs-uri-stem" -> Slot.of(Slot.Kind.PATH);
            case "cs-uri-query" -> Slot.of(Slot.Kind.QUERY);
            case "sc-status" -> Slot.of(Slot.Kind.STATUS);
            case "sc-bytes", "bytes" -> Slot.of(Slot.Kind.BYTES);
            case "time-taken" -> Slot.of(Slot.Kind.TOOK_MILLIS);
            case "cs(user-agent)" -> Slot.of(Slot.Kind.AGENT);
            case "cs(cookie)" -> Slot.of(Slot.Kind.COOKIES);
            default -> name.matches("(?i)cs\\(.+\\)")
                ? Slot.named(Slot.Kind.FIELD, name.substring(3, name.length() - 1)) : Slot.of(Slot.Kind.IGNORED);
        };
    }
}
