package cypressvalve.load.source;

import cypressvalve.load.grammar.ApacheConfigLexer;
import cypressvalve.load.grammar.ApacheConfigParser;
import cypressvalve.load.grammar.ApacheLexer;
import cypressvalve.load.grammar.ApacheParser;
import cypressvalve.load.grammar.NginxLexer;
import cypressvalve.load.grammar.NginxParser;
import cypressvalve.load.grammar.NginxTextLexer;
import cypressvalve.load.grammar.NginxTextParser;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.antlr.v4.runtime.BaseErrorListener;
import org.antlr.v4.runtime.CharStreams;
import org.antlr.v4.runtime.CommonTokenStream;
import org.antlr.v4.runtime.Lexer;
import org.antlr.v4.runtime.Parser;
import org.antlr.v4.runtime.RecognitionException;
import org.antlr.v4.runtime.Recognizer;
import org.antlr.v4.runtime.tree.ParseTree;
import org.antlr.v4.runtime.tree.TerminalNode;

/**
 * Format directives as operators have them: Apache's LogFormat (mod_log_config), nginx's log_format
 * (ngx_http_log_module), and the two of NCSA httpd, common and combined.
 */
public final class Formats {
    private static final String COMMON = "%h %l %u %t \"%r\" %>s %b";
    private static final String COMBINED = COMMON + " \"%{Referer}i\" \"%{User-Agent}i\"";
    private static final Pattern DIRECTIVE = Pattern.compile("%[!0-9,<>]*(?:\\{([^}]*)})?(?:[!0-9,<>]*)"
        + "(\\^[a-z]+|[A-Za-z])");

    private Formats() {
    }

    /** A directive that can't be read or can't be used; the message says where and why. */
    public static final class BadFormat extends Exception {
        private static final long serialVersionUID = 1;
        private final int line;

        BadFormat(int line, String why) {
            super(why);
            this.line = line;
        }

        /** The line in the text given, from 1. */
        public int line() {
            return line;
        }
    }

    private static final class Stop extends RuntimeException {
        private static final long serialVersionUID = 1;
        private final int line;
        private final String why;

        private Stop(int line, int column, String why) {
            super(why, null, false, false);
            this.line = line;
            this.why = "column " + (column + 1) + ": " + why;
        }
    }

    private static <L extends Lexer> CommonTokenStream tokens(L lexer) {
        strict(lexer);
        return new CommonTokenStream(lexer);
    }

    private static <R extends Recognizer<?, ?>> R strict(R recognizer) {
        recognizer.removeErrorListeners();
        recognizer.addErrorListener(new BaseErrorListener() {
            @Override
            public void syntaxError(Recognizer<?, ?> by, Object symbol, int line, int at, String message,
                RecognitionException cause) {
                throw new Stop(line, at, message);
            }
        });
        return recognizer;
    }

    /** The NCSA common format, or combined. */
    static LineFormat ncsa(boolean combined) {
        try {
            return apache(combined ? COMBINED : COMMON);
        } catch (BadFormat e) {
            throw new IllegalStateException(e);
        }
    }

    /** The text of an Apache LogFormat, without its quotes. */
    static LineFormat apache(String format) throws BadFormat {
        List<Object> pieces = new ArrayList<>();
        try {
            ApacheParser parser = strict(new ApacheParser(tokens(new ApacheLexer(CharStreams.fromString(format)))));
            for (ApacheParser.PieceContext piece : parser.pieces().piece()) {
                if (piece.DIRECTIVE() != null) {
                    apacheField(piece.DIRECTIVE().getText(), pieces);
                } else {
                    pieces.add(piece.PERCENT() != null ? "%" : piece.literal().getText());
                }
            }
            return new LineFormat(pieces, true);
        } catch (Stop e) {
            throw new BadFormat(1, e.why);
        } catch (IllegalArgumentException e) {
            throw new BadFormat(1, e.getMessage());
        }
    }

    private static void apacheField(String directive, List<Object> to) throws BadFormat {
        Matcher m = DIRECTIVE.matcher(directive);
        if (!m.matches()) {
            throw new BadFormat(1, directive + ": no directive of mod_log_config");
        }
        String argument = m.group(1);
        switch (m.group(2)) {
            case "h", "a" -> to.add(Slot.of("c".equals(argument) ? Slot.Kind.IGNORED : Slot.Kind.ADDRESS));
            case "t" -> apacheTime(directive, argument, to);
            case "r" -> to.add(Slot.of(Slot.Kind.REQUEST));
            case "m" -> to.add(Slot.of(Slot.Kind.METHOD));
            case "U" -> to.add(Slot.of(Slot.Kind.PATH));
            case "q" -> to.add(Slot.of(Slot.Kind.QUERY));
            case "s" -> to.add(Slot.of(Slot.Kind.STATUS));
            case "b", "B", "O" -> to.add(Slot.of(Slot.Kind.BYTES));
            case "D" -> to.add(Slot.of(Slot.Kind.TOOK_MICROS));
            case "T" -> to.add(Slot.of(argument == null || argument.equals("s") ? Slot.Kind.TOOK_SECONDS
                : argument.equals("ms") ? Slot.Kind.TOOK_MILLIS : Slot.Kind.TOOK_MICROS));
            case "i" -> to.add(Slot.named(Slot.Kind.FIELD, String.valueOf(argument)));
            case "C" -> to.add(Slot.named(Slot.Kind.COOKIE, String.valueOf(argument)));
            default -> to.add(Slot.of(Slot.Kind.IGNORED));
        }
    }

    private static void apacheTime(String directive, String argument, List<Object> to) throws BadFormat {
        if (argument == null) {
            to.add("[");
            to.add(Slot.of(Slot.Kind.TIME_CLF));
            to.add("]");
            return;
        }
        boolean end = argument.startsWith("end:");
        String form = argument.replaceFirst("^(begin|end):", "");
        switch (form) {
            case "sec" -> to.add(Slot.of(end ? Slot.Kind.TIME_SECONDS_END : Slot.Kind.TIME_SECONDS));
            case "msec" -> to.add(Slot.of(end ? Slot.Kind.TIME_MILLIS_END : Slot.Kind.TIME_MILLIS));
            case "usec" -> to.add(Slot.of(Slot.Kind.TIME_MICROS));
            case "msec_frac", "usec_frac" -> to.add(Slot.of(Slot.Kind.IGNORED));
            default -> {
                try {
                    to.add(new Slot(Slot.Kind.TIME_FORM, "", Times.strftime(form)));
                } catch (IllegalArgumentException e) {
                    throw new BadFormat(1, directive + ": " + e.getMessage() + " is not read here");
                }
            }
        }
    }

    /**
     * All formats that an Apache configuration names, and those of its CustomLog lines under their own text.
     */
    static Map<String, String> apacheConfig(String text) throws BadFormat {
        Map<String, String> formats = new LinkedHashMap<>();
        try {
            ApacheConfigParser parser = strict(new ApacheConfigParser(
                tokens(new ApacheConfigLexer(CharStreams.fromString(text.endsWith("\n") ? text : text + "\n")))));
            for (ApacheConfigParser.LineContext line : parser.file().line()) {
                if (line.LOG_FORMAT() != null) {
                    formats.put(line.name == null ? "" : unquoted(line.name.getText()),
                        unquoted(line.format.getText()));
                }
            }
        } catch (Stop e) {
            throw new BadFormat(e.line, e.why);
        }
        return formats;
    }

    private static String unquoted(String arg) {
        return arg.startsWith("\"") ? arg.substring(1, arg.length() - 1).replaceAll("\\\\\r?\n", "")
            .replaceAll("\\\\(.)", "$1") : arg;
    }

    /** One log_format of an nginx configuration. */
    record Nginx(String name, String text, String escape) { }

    /** All log_format directives of an nginx configuration. */
    static Map<String, Nginx> nginxConfig(String text) throws BadFormat {
        Map<String, Nginx> formats = new LinkedHashMap<>();
        try {
            NginxParser parser = strict(new NginxParser(tokens(new NginxLexer(CharStreams.fromString(text)))));
            formats(parser.file(), formats);
        } catch (Stop e) {
            throw new BadFormat(e.line, e.why);
        }
        return formats;
    }

    private static void formats(ParseTree tree, Map<String, Nginx> to) {
        if (tree instanceof NginxParser.LogFormatContext f) {
            StringBuilder text = new StringBuilder();
            f.text().forEach(t -> text.append(quoted(t.getText())));
            String name = f.name.getText();
            String escape = f.ESCAPE() == null ? "default" : f.ESCAPE().getText().substring("escape=".length());
            to.put(name, new Nginx(name, text.toString(), escape));
            return;
        }
        for (int i = 0; i < tree.getChildCount(); i++) {
            if (!(tree.getChild(i) instanceof TerminalNode)) {
                formats(tree.getChild(i), to);
            }
        }
    }

    private static String quoted(String text) {
        return text.substring(1, text.length() - 1).replaceAll("\\\\(['\"\\\\])", "$1");
    }

    /** A log_format's lines. */
    static LineFormat nginx(Nginx format) throws BadFormat {
        List<Object> pieces = new ArrayList<>();
        try {
            NginxTextParser parser = strict(new NginxTextParser(
                tokens(new NginxTextLexer(CharStreams.fromString(format.text)))));
            for (NginxTextParser.PieceContext piece : parser.pieces().piece()) {
                if (piece.literal() != null) {
                    pieces.add(piece.literal().getText());
                } else {
                    pieces.add(nginxField(piece.getText().replaceAll("[${}]", "")));
                }
            }
            return new LineFormat(pieces, !format.escape.equals("none"));
        } catch (Stop e) {
            throw new BadFormat(1, format.name + ": " + e.why);
        } catch (IllegalArgumentException e) {
            throw new BadFormat(1, format.name + ": " + e.getMessage());
        }
    }

    private static Slot nginxField(String name) {
        return switch (name) {
            case "remote_addr", "http_x_forwarded_for", "realip_remote_addr" -> Slot.of(Slot.Kind.ADDRESS);
            case "time_local" -> Slot.of(Slot.Kind.TIME_CLF_END);
            case "time_iso8601" -> Slot.of(Slot.Kind.TIME_ISO_END);
            case "msec" -> Slot.of(Slot.Kind.TIME_SECONDS_END);
            case "request" -> Slot.of(Slot.Kind.REQUEST);
            case "request_method" -> Slot.of(Slot.Kind.METHOD);
            case "request_uri" -> Slot.of(Slot.Kind.URI);
            case "uri", "document_uri" -> Slot.of(Slot.Kind.PATH);
            case "args", "query_string" -> Slot.of(Slot.Kind.QUERY);
            case "status" -> Slot.of(Slot.Kind.STATUS);
            case "body_bytes_sent", "bytes_sent" -> Slot.of(Slot.Kind.BYTES);
            case "request_time" -> Slot.of(Slot.Kind.TOOK_SECONDS);
            case "http_user_agent" -> Slot.of(Slot.Kind.AGENT);
            case "http_cookie" -> Slot.of(Slot.Kind.COOKIES);
            default -> name.startsWith("cookie_") ? Slot.named(Slot.Kind.COOKIE, name.substring(7))
                : name.startsWith("http_") ? Slot.named(Slot.Kind.FIELD, name.substring(5))
                : name.startsWith("sent_http_") ? Slot.named(Slot.Kind.FIELD, "sent-" + name.substring(10))
                : Slot.of(Slot.Kind.IGNORED);
        };
    }
}
