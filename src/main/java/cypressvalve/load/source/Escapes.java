package cypressvalve.load.source;

import cypressvalve.load.grammar.EscapedLexer;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import org.antlr.v4.runtime.BaseErrorListener;
import org.antlr.v4.runtime.CharStreams;
import org.antlr.v4.runtime.RecognitionException;
import org.antlr.v4.runtime.Recognizer;
import org.antlr.v4.runtime.Token;

/** Escapes as servers write them into quoted fields. */
final class Escapes {
    private Escapes() {
    }

    /** Where a text has an escape that no server writes. */
    private static final class Wrong extends RuntimeException {
        private static final long serialVersionUID = 1;
        private final int column;

        private Wrong(int column) {
            super(null, null, false, false);
            this.column = column;
        }
    }

    /**
     * The text that was logged.
     *
     * @param column where the field begins in its line
     */
    static String undone(String text, int column) throws BadLine {
        if (text.indexOf('\\') < 0) {
            return text;
        }
        EscapedLexer lexer = new EscapedLexer(CharStreams.fromString(text));
        lexer.removeErrorListeners();
        lexer.addErrorListener(new BaseErrorListener() {
            @Override
            public void syntaxError(Recognizer<?, ?> by, Object symbol, int line, int at, String message,
                RecognitionException cause) {
                throw new Wrong(at);
            }
        });
        ByteArrayOutputStream bytes = new ByteArrayOutputStream(text.length());
        try {
            for (Token token = lexer.nextToken(); token.getType() != Token.EOF; token = lexer.nextToken()) {
                String part = token.getText();
                switch (token.getType()) {
                    case EscapedLexer.BYTE -> bytes.write(Integer.parseInt(part.substring(2), 16));
                    case EscapedLexer.UNIT -> write(bytes,
                        String.valueOf((char) Integer.parseInt(part.substring(2), 16)));
                    case EscapedLexer.SHORT -> bytes.write(shortened(part.charAt(1)));
                    default -> write(bytes, part);
                }
            }
        } catch (Wrong e) {
            throw new BadLine(column + e.column, "an escape such as \\x22 or \\\"");
        }
        return bytes.toString(StandardCharsets.UTF_8);
    }

    private static void write(ByteArrayOutputStream to, String text) {
        to.writeBytes(text.getBytes(StandardCharsets.UTF_8));
    }

    private static int shortened(char c) {
        return switch (c) {
            case 'n' -> '\n';
            case 'r' -> '\r';
            case 't' -> '\t';
            case 'b' -> '\b';
            case 'f' -> '\f';
            case 'v' -> 0x0b;
            default -> c;
        };
    }
}
