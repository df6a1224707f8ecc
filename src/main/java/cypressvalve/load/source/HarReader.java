package cypressvalve.load.source;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonLocation;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.io.InputStream;
import java.util.function.LongSupplier;

/**
 * HAR 1.2 read as a stream of entries, none held beyond its own fields; bodies are passed over. What the format
 * leaves open (custom members that begin with '_', missing optional ones) is passed over too.
 */
final class HarReader implements Source {
    private static final Slot TIME = Slot.of(Slot.Kind.TIME_ISO);
    private static final Slot TOOK = Slot.of(Slot.Kind.TOOK_MILLIS);
    private static final Slot PAGE = Slot.of(Slot.Kind.PAGE);
    private static final Slot URI = Slot.of(Slot.Kind.URI);
    private static final Slot METHOD = Slot.of(Slot.Kind.METHOD);
    private static final Slot STATUS = Slot.of(Slot.Kind.STATUS);
    private static final Slot BYTES = Slot.of(Slot.Kind.BYTES);

    private final JsonParser in;
    private final HitMaker maker;
    private final int file;
    private final LongSupplier read;
    private long entry;
    private boolean begun;
    private boolean over;

    HarReader(InputStream stream, HitMaker maker, int file, LongSupplier read) throws IOException {
        this.in = new JsonFactory().createParser(stream);
        this.maker = maker;
        this.file = file;
        this.read = read;
    }

    @Override
    public Item next() throws IOException {
        if (over) {
            return null;
        }
        try {
            if (!begun) {
                begun = true;
                findEntries();
            }
            if (over || in.nextToken() == JsonToken.END_ARRAY) {
                over = true;
                rest();
                return null;
            }
            entry++;
            if (in.currentToken() != JsonToken.START_OBJECT) {
                in.skipChildren();
                throw here("an entry of named members");
            }
            return entry();
        } catch (JsonProcessingException e) {
            // Nothing can be told of what stands after it: a file cut off in the middle ends with one bad line.
            over = true;
            JsonLocation at = e.getLocation();
            return Item.bad(file, at == null ? 1 : at.getLineNr(), new BadLine(at == null ? 1 : at.getColumnNr(),
                "HAR to its end: " + e.getOriginalMessage().lines().findFirst().orElse("")));
        } catch (BadLine e) {
            return Item.bad(file, in.currentLocation().getLineNr(), e);
        }
    }

    private BadLine here(String expected) {
        return new BadLine(in.currentLocation().getColumnNr(), expected);
    }

    private void findEntries() throws IOException, BadLine {
        if (in.nextToken() != JsonToken.START_OBJECT) {
            over = true;
            throw here("an object with log");
        }
        while (in.nextToken() == JsonToken.FIELD_NAME) {
            boolean log = in.currentName().equals("log");
            in.nextToken();
            if (!log || in.currentToken() != JsonToken.START_OBJECT) {
                in.skipChildren();
                continue;
            }
            while (in.nextToken() == JsonToken.FIELD_NAME) {
                boolean entries = in.currentName().equals("entries");
                in.nextToken();
                if (entries && in.currentToken() == JsonToken.START_ARRAY) {
                    return;
                }
                in.skipChildren();
            }
        }
        over = true;
        throw here("log.entries");
    }

    /** What follows the entries must still be whole. */
    private void rest() throws IOException {
        while (in.nextToken() != null) {
            in.skipChildren();
        }
    }

    /** Reads an entry to its end, whatever is wrong inside, so that the next can be read. */
    private Item entry() throws IOException, BadLine {
        maker.begin();
        BadLine wrong = null;
        while (in.nextToken() == JsonToken.FIELD_NAME) {
            String name = in.currentName();
            in.nextToken();
            try {
                switch (name) {
                    case "startedDateTime" -> maker.take(TIME, text(), column());
                    case "time" -> maker.take(TOOK, took(), column());
                    case "pageref" -> maker.take(PAGE, text(), column());
                    case "request" -> request();
                    case "response" -> response();
                    default -> in.skipChildren();
                }
            } catch (BadLine e) {
                wrong = wrong == null ? e : wrong;
            }
        }
        if (wrong != null) {
            throw wrong;
        }
        Hit hit = maker.hit(entry);
        return Item.of(hit);
    }

    private String text() throws IOException {
        if (in.currentToken().isScalarValue()) {
            return in.currentToken() == JsonToken.VALUE_NULL ? "" : in.getText();
        }
        in.skipChildren();
        return "";
    }

    /** HAR has -1 where a time does not apply. */
    private String took() throws IOException {
        String text = text();
        return text.startsWith("-") ? "" : text;
    }

    private int column() {
        return Math.max(1, in.currentTokenLocation().getColumnNr());
    }

    private void request() throws IOException, BadLine {
        BadLine wrong = null;
        if (in.currentToken() != JsonToken.START_OBJECT) {
            in.skipChildren();
            throw here("a request of named members");
        }
        while (in.nextToken() == JsonToken.FIELD_NAME) {
            String name = in.currentName();
            in.nextToken();
            try {
                switch (name) {
                    case "method" -> maker.take(METHOD, text(), column());
                    case "url" -> maker.take(URI, text(), column());
                    case "headers" -> pairs(Slot.Kind.FIELD);
                    case "cookies" -> pairs(Slot.Kind.COOKIE);
                    default -> in.skipChildren();
                }
            } catch (BadLine e) {
                wrong = wrong == null ? e : wrong;
            }
        }
        if (wrong != null) {
            throw wrong;
        }
    }

    private void pairs(Slot.Kind kind) throws IOException, BadLine {
        if (in.currentToken() != JsonToken.START_ARRAY) {
            in.skipChildren();
            return;
        }
        while (in.nextToken() != JsonToken.END_ARRAY) {
            if (in.currentToken() != JsonToken.START_OBJECT) {
                in.skipChildren();
                continue;
            }
            String name = "";
            String value = "";
            while (in.nextToken() == JsonToken.FIELD_NAME) {
                String member = in.currentName();
                in.nextToken();
                if (member.equals("name")) {
                    name = text();
                } else if (member.equals("value")) {
                    value = text();
                } else {
                    in.skipChildren();
                }
            }
            if (!name.isEmpty()) {
                maker.take(Slot.named(kind, name), value, column());
            }
        }
    }

    private void response() throws IOException, BadLine {
        BadLine wrong = null;
        if (in.currentToken() != JsonToken.START_OBJECT) {
            in.skipChildren();
            throw here("a response of named members");
        }
        while (in.nextToken() == JsonToken.FIELD_NAME) {
            String name = in.currentName();
            in.nextToken();
            try {
                switch (name) {
                    case "status" -> maker.take(STATUS, text(), column());
                    case "bodySize" -> maker.take(BYTES, took(), column());
                    default -> in.skipChildren();
                }
            } catch (BadLine e) {
                wrong = wrong == null ? e : wrong;
            }
        }
        if (wrong != null) {
            throw wrong;
        }
    }

    @Override
    public long read() {
        return read.getAsLong();
    }

    @Override
    public void close() throws IOException {
        in.close();
    }
}
