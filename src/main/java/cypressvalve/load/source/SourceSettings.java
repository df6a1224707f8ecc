package cypressvalve.load.source;

import cypressvalve.config.Doc;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.DateTimeException;
import java.time.ZoneId;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * How a source is written.
 *
 * @param kind its family
 * @param directive the format text, or the name of a format in the server's own configuration
 * @param members meaning by JSON member, for JSON lines
 */
public final class SourceSettings {
    /** Families of sources. */
    public enum Kind { HAR, COMMON, COMBINED, APACHE, NGINX, W3C, JSON_LINES, OWN }

    /** The log_format of our own access logs, as docs/load.md shows it. */
    public static final String OWN_FORMAT = "$remote_addr - $remote_user [$time_local] \"$request\" $status "
        + "$body_bytes_sent \"$http_referer\" \"$http_user_agent\" $msec $request_time \"$http_cmcd_session\" "
        + "\"$sent_http_session\"";

    private final Kind kind;
    private final LineFormat format;
    private final Map<String, Slot> members;
    private final ZoneId zone;

    private SourceSettings(Kind kind, LineFormat format, Map<String, Slot> members, ZoneId zone) {
        this.kind = kind;
        this.format = format;
        this.members = members;
        this.zone = zone;
    }

    /** A source without settings of its own. */
    public static SourceSettings of(Kind kind) {
        try {
            return new SourceSettings(kind, switch (kind) {
                case COMMON, COMBINED -> Formats.ncsa(kind == Kind.COMBINED);
                case OWN -> Formats.nginx(new Formats.Nginx("own", OWN_FORMAT, "default"));
                case HAR, W3C -> null;
                default -> throw new IllegalArgumentException(kind.name());
            }, Map.of(), ZoneId.of("UTC"));
        } catch (Formats.BadFormat e) {
            throw new IllegalStateException(e);
        }
    }

    /** Reads the group "source" of a mapping; faults go to the file's list. */
    public static SourceSettings read(Doc.Section s) {
        Kind kind = s.choice("format", Kind.class, null);
        ZoneId zone = ZoneId.of("UTC");
        try {
            zone = ZoneId.of(s.text("zone", "UTC"));
        } catch (DateTimeException e) {
            s.wrong("zone", "a zone such as Europe/Madrid");
        }
        Map<String, Slot> members = members(s.optional("members"), kind);
        String directive = s.text("log-format", "");
        String config = s.text("config", "");
        String name = s.text("name", "");
        LineFormat format = null;
        try {
            if (kind == Kind.APACHE || kind == Kind.NGINX) {
                format = directed(s, kind, directive, config, name);
            } else if (!directive.isEmpty() || !config.isEmpty() || !name.isEmpty()) {
                s.wrong(!directive.isEmpty() ? "log-format" : !config.isEmpty() ? "config" : "name",
                    "format: apache or nginx beside it");
            } else if (kind == Kind.COMMON || kind == Kind.COMBINED || kind == Kind.OWN) {
                format = of(kind).format;
            }
        } catch (Formats.BadFormat e) {
            s.wrong(config.isEmpty() ? "log-format" : "config", "a usable format (line " + e.line() + ", "
                + e.getMessage() + ")");
        }
        return new SourceSettings(kind == null ? Kind.COMBINED : kind, format, members, zone);
    }

    private static LineFormat directed(Doc.Section s, Kind kind, String directive, String config, String name)
        throws Formats.BadFormat {
        if (!config.isEmpty()) {
            String text;
            try {
                text = Files.readString(Path.of(config));
            } catch (IOException e) {
                s.wrong("config", "a readable file");
                return null;
            }
            if (kind == Kind.NGINX) {
                Map<String, Formats.Nginx> formats = Formats.nginxConfig(text);
                if (!formats.containsKey(name)) {
                    s.wrong("name", "one of the configuration's formats: " + String.join(", ", formats.keySet()));
                    return null;
                }
                return Formats.nginx(formats.get(name));
            }
            Map<String, String> formats = Formats.apacheConfig(text);
            if (!formats.containsKey(name)) {
                s.wrong("name", "one of the configuration's formats: " + String.join(", ", formats.keySet()));
                return null;
            }
            return Formats.apache(formats.get(name));
        }
        if (directive.isEmpty()) {
            s.wrong("format", "log-format, or config and name, beside it");
            return null;
        }
        if (kind == Kind.APACHE) {
            return Formats.apache(directive);
        }
        if (directive.strip().startsWith("log_format")) {
            Map<String, Formats.Nginx> formats = Formats.nginxConfig(directive);
            return Formats.nginx(formats.values().iterator().next());
        }
        return Formats.nginx(new Formats.Nginx("log-format", directive, "default"));
    }

    private static Map<String, Slot> members(Doc.Section m, Kind kind) {
        Map<String, Slot> slots = new LinkedHashMap<>();
        for (String meaning : m.keys()) {
            Slot slot = switch (meaning) {
                case "time" -> Slot.of(Slot.Kind.TIME_ISO);
                case "time-seconds" -> Slot.of(Slot.Kind.TIME_SECONDS);
                case "time-millis" -> Slot.of(Slot.Kind.TIME_MILLIS);
                case "time-micros" -> Slot.of(Slot.Kind.TIME_MICROS);
                case "end-time" -> Slot.of(Slot.Kind.TIME_ISO_END);
                case "end-seconds" -> Slot.of(Slot.Kind.TIME_SECONDS_END);
                case "address" -> Slot.of(Slot.Kind.ADDRESS);
                case "agent" -> Slot.of(Slot.Kind.AGENT);
                case "method" -> Slot.of(Slot.Kind.METHOD);
                case "uri" -> Slot.of(Slot.Kind.URI);
                case "path" -> Slot.of(Slot.Kind.PATH);
                case "query" -> Slot.of(Slot.Kind.QUERY);
                case "request" -> Slot.of(Slot.Kind.REQUEST);
                case "status" -> Slot.of(Slot.Kind.STATUS);
                case "bytes" -> Slot.of(Slot.Kind.BYTES);
                case "took-seconds" -> Slot.of(Slot.Kind.TOOK_SECONDS);
                case "took-millis" -> Slot.of(Slot.Kind.TOOK_MILLIS);
                case "cookies" -> Slot.of(Slot.Kind.COOKIES);
                case "cmcd" -> Slot.named(Slot.Kind.FIELD, "cmcd-session");
                default -> null;
            };
            if (slot == null) {
                m.wrong(meaning, "a meaning such as time, address, agent, method, uri, status, bytes, took-millis");
            } else {
                slots.put(m.text(meaning), slot);
            }
        }
        if (kind == Kind.JSON_LINES && (slots.values().stream().noneMatch(Slot::time) || slots.values().stream()
            .noneMatch(t -> t.kind() == Slot.Kind.URI || t.kind() == Slot.Kind.PATH
                || t.kind() == Slot.Kind.REQUEST))) {
            m.wrong("time", "members for a time and for uri, path or request");
        }
        return slots;
    }

    /** The family. */
    public Kind kind() {
        return kind;
    }

    ZoneId zone() {
        return zone;
    }

    LineReader lines() {
        return switch (kind) {
            case W3C -> new W3cReader();
            case JSON_LINES -> new JsonLinesReader(members);
            default -> new LineReader.Directed(format);
        };
    }
}
