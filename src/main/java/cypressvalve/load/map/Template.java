package cypressvalve.load.map;

import cypressvalve.load.grammar.TemplateLexer;
import cypressvalve.load.grammar.TemplateParser;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.antlr.v4.runtime.BailErrorStrategy;
import org.antlr.v4.runtime.BaseErrorListener;
import org.antlr.v4.runtime.CharStreams;
import org.antlr.v4.runtime.CommonTokenStream;
import org.antlr.v4.runtime.RecognitionException;
import org.antlr.v4.runtime.Recognizer;
import org.antlr.v4.runtime.misc.ParseCancellationException;
import org.antlr.v4.runtime.tree.TerminalNode;

/** A URI path with named parts, in the notation of RFC 6570, used the other way round: to take paths apart. */
public final class Template {
    private final Pattern pattern;
    private final List<String> names = new ArrayList<>();
    private final String prefix;

    /** @throws IllegalArgumentException if the text is no template */
    public Template(String text) {
        TemplateLexer lexer = new TemplateLexer(CharStreams.fromString(text));
        lexer.removeErrorListeners();
        lexer.addErrorListener(new BaseErrorListener() {
            @Override
            public void syntaxError(Recognizer<?, ?> by, Object symbol, int line, int at, String message,
                RecognitionException cause) {
                throw new IllegalArgumentException("column " + (at + 1) + ": " + message);
            }
        });
        TemplateParser parser = new TemplateParser(new CommonTokenStream(lexer));
        parser.removeErrorListeners();
        parser.setErrorHandler(new BailErrorStrategy());
        StringBuilder regex = new StringBuilder();
        String first = "";
        try {
            for (TemplateParser.PartContext part : parser.template().part()) {
                TerminalNode variable = part.VARIABLE();
                if (variable == null) {
                    first = regex.isEmpty() ? part.getText() : first;
                    regex.append(Pattern.quote(part.getText()));
                } else {
                    String body = variable.getText().substring(1, variable.getText().length() - 1);
                    boolean digits = body.endsWith(":digits");
                    boolean any = body.endsWith("*");
                    names.add(body.replaceAll("\\*$|:digits$", ""));
                    regex.append(digits ? "([0-9]{1,18})" : any ? "(.+?)" : "([^/]+?)");
                }
            }
        } catch (ParseCancellationException e) {
            throw new IllegalArgumentException("not a template");
        }
        if (names.stream().distinct().count() != names.size()) {
            throw new IllegalArgumentException("a name twice");
        }
        pattern = Pattern.compile(regex.toString());
        prefix = first;
    }

    /** The parts' names in their order. */
    public List<String> names() {
        return names;
    }

    /** The parts of a path, or null if the path is not of this form. */
    public String[] parts(String path) {
        if (!path.startsWith(prefix)) {
            return null;
        }
        Matcher m = pattern.matcher(path);
        if (!m.matches()) {
            return null;
        }
        String[] parts = new String[names.size()];
        for (int i = 0; i < parts.length; i++) {
            parts[i] = m.group(i + 1);
        }
        return parts;
    }
}
