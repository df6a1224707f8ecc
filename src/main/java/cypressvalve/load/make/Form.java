package cypressvalve.load.make;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.StringWriter;
import java.io.Writer;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.time.ZoneOffset;
import java.time.format.DateTimeFormatter;
import java.util.Locale;

/** Habits of several server programs: what they write down, when, how they escape it. */
enum Form {
    /** nginx with a format of the operator's: the request's end to the millisecond, its length, CMCD. */
    NGINX {
        @Override
        void write(Request r, long clock, Writer to) throws IOException {
            long end = r.logged() + clock;
            to.write(r.address() + " - - [" + CLF.format(utc(end)) + "] \"GET " + uri(r) + " HTTP/1.1\" " + r.status()
                + " " + r.bytes() + " \"-\" \"" + escaped(r.agent(), true) + "\" " + end / SECOND + "."
                + digits(end % SECOND / 1_000_000, 3) + " " + r.took() / SECOND + "."
                + digits(r.took() % SECOND / 1_000_000, 3) + " \"sid=\\x22" + r.sid() + "\\x22\"\n");
        }
    },
    /** Apache's combined: the request's beginning to the second, quotes after a backslash, nothing to know a viewer by. */
    COMBINED {
        @Override
        void write(Request r, long clock, Writer to) throws IOException {
            to.write(r.address() + " - - [" + CLF.format(utc(r.at() + clock)) + "] \"GET " + uri(r) + " HTTP/1.1\" "
                + r.status() + " " + r.bytes() + " \"-\" \"" + escaped(r.agent(), false) + "\"\n");
        }
    },
    /** Apache with a format of the operator's: microseconds, a cookie. */
    APACHE {
        @Override
        void write(Request r, long clock, Writer to) throws IOException {
            to.write((r.at() + clock) / 1000 + "|" + r.address() + "|\"GET " + uri(r) + " HTTP/1.1\"|" + r.status() + "|"
                + r.took() / 1000 + "|" + r.sid() + "\n");
        }
    },
    /** A W3C extended log as IIS writes it: the request's end, no fraction, spaces as plus signs. */
    W3C {
        @Override
        void begin(Writer to) throws IOException {
            to.write("#Software: Example 10.0\n#Version: 1.0\n#Fields: date time c-ip cs-method cs-uri-stem cs-uri-query "
                + "sc-status sc-bytes time-taken cs(User-Agent) cs(Cookie)\n");
        }

        @Override
        void write(Request r, long clock, Writer to) throws IOException {
            String[] uri = (uri(r) + "?-").split("\\?", -1);
            to.write(W3C_TIME.format(utc(r.logged() + clock)) + " " + r.address() + " GET " + uri[0] + " " + uri[1] + " "
                + r.status() + " " + r.bytes() + " " + r.took() / 1_000_000 + " " + r.agent().replace(' ', '+')
                .replace('"', '\'') + " sess=" + r.sid() + "\n");
        }
    },
    /** JSON lines, times in milliseconds. */
    JSON {
        @Override
        void write(Request r, long clock, Writer to) throws IOException {
            StringWriter line = new StringWriter();
            try (JsonGenerator json = FACTORY.createGenerator(line)) {
                json.writeStartObject();
                json.writeNumberField("ts", (r.at() + clock) / 1_000_000);
                json.writeObjectFieldStart("client");
                json.writeStringField("ip", r.address());
                json.writeStringField("ua", r.agent());
                json.writeStringField("session", r.sid());
                json.writeEndObject();
                json.writeStringField("method", "GET");
                json.writeStringField("uri", uri(r));
                json.writeNumberField("status", r.status());
                json.writeNumberField("ms", r.took() / 1e6);
                json.writeEndObject();
            }
            to.write(line + "\n");
        }
    },
    /** HAR 1.2 as a browser's network panel saves it, pages for viewers, bodies and members of its own included. */
    HAR {
        private boolean first = true;

        @Override
        void begin(Writer to) throws IOException {
            first = true;
            to.write("{\"log\":{\"version\":\"1.2\",\"creator\":{\"name\":\"panel\",\"version\":\"1\"},\"pages\":[],"
                + "\"entries\":[\n");
        }

        @Override
        void write(Request r, long clock, Writer to) throws IOException {
            StringWriter line = new StringWriter();
            try (JsonGenerator json = FACTORY.createGenerator(line)) {
                json.writeStartObject();
                json.writeStringField("_initiator", "script");
                json.writeStringField("pageref", "page_" + r.viewer());
                json.writeStringField("startedDateTime", HAR_TIME.format(utc(r.at() + clock)));
                json.writeNumberField("time", r.took() / 1e6);
                json.writeObjectFieldStart("request");
                json.writeStringField("method", "GET");
                json.writeStringField("url", "https://video.example" + uri(r));
                json.writeArrayFieldStart("headers");
                json.writeStartObject();
                json.writeStringField("name", "user-agent");
                json.writeStringField("value", r.agent());
                json.writeEndObject();
                json.writeStartObject();
                json.writeStringField("name", "CMCD-Session");
                json.writeStringField("value", "sid=\"" + r.sid() + "\",st=v");
                json.writeEndObject();
                json.writeEndArray();
                json.writeEndObject();
                json.writeObjectFieldStart("response");
                json.writeNumberField("status", r.status());
                json.writeObjectFieldStart("content");
                json.writeStringField("mimeType", "video/mp2t");
                json.writeStringField("text", "R2FybmV0");
                json.writeStringField("encoding", "base64");
                json.writeEndObject();
                json.writeNumberField("bodySize", r.bytes());
                json.writeEndObject();
                json.writeEndObject();
            }
            to.write((first ? "" : ",\n") + line);
            first = false;
        }

        @Override
        void end(Writer to) throws IOException {
            to.write("\n]}}\n");
        }
    };

    private static final long SECOND = 1_000_000_000L;
    private static final DateTimeFormatter CLF = DateTimeFormatter.ofPattern("dd/MMM/yyyy:HH:mm:ss Z", Locale.ROOT);
    private static final DateTimeFormatter W3C_TIME = DateTimeFormatter.ofPattern("yyyy-MM-dd HH:mm:ss", Locale.ROOT);
    private static final DateTimeFormatter HAR_TIME = DateTimeFormatter.ofPattern("yyyy-MM-dd'T'HH:mm:ss.SSSXXX",
        Locale.ROOT);
    private static final JsonFactory FACTORY = new JsonFactory();

    private static java.time.OffsetDateTime utc(long nanos) {
        return Instant.ofEpochSecond(0, nanos).atOffset(ZoneOffset.UTC);
    }

    private static String digits(long n, int width) {
        return String.format("%0" + width + "d", n);
    }

    /** The program escapes quotes and backslashes as bytes, or with a backslash. */
    private static String escaped(String text, boolean asBytes) {
        StringBuilder out = new StringBuilder();
        for (byte b : text.getBytes(StandardCharsets.UTF_8)) {
            if (b == '"' || b == '\\') {
                out.append(asBytes ? String.format("\\x%02X", b) : "\\" + (char) b);
            } else if (b < 0x20 || b == 0x7f) {
                out.append(String.format("\\x%02X", b & 0xff));
            } else {
                out.append((char) b);
            }
        }
        return out.toString();
    }

    /** Paths as a packager lays them out. */
    static String uri(Request r) {
        String base = "/vod/" + r.title() + "/" + r.plan() + "/";
        return r.segment() < 0 ? base + "master.m3u8?tenant=" + r.tenant()
            : base + "rung" + r.rung() + "/seg-" + r.segment() + ".ts";
    }

    void begin(Writer to) throws IOException {
    }

    /** @param clock nanoseconds by which the server's clock is ahead */
    abstract void write(Request r, long clock, Writer to) throws IOException;

    void end(Writer to) throws IOException {
    }

    /** Whether lines are written when the answer is done. */
    boolean atEnd() {
        return this == NGINX || this == W3C;
    }
}
