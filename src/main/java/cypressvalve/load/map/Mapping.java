package cypressvalve.load.map;

import cypressvalve.config.Doc;
import cypressvalve.load.source.Hit;
import cypressvalve.load.source.SourceSettings;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.greenbytes.http.sfv.Dictionary;
import org.greenbytes.http.sfv.ListElement;
import org.greenbytes.http.sfv.ParseException;
import org.greenbytes.http.sfv.Parser;
import org.greenbytes.http.sfv.StringItem;

/** Rules from requests to what they mean, as a YAML file has them; docs/load.md shows one by example. */
public final class Mapping {
    private static final Pattern PLACE = Pattern.compile("\\{([A-Za-z][A-Za-z0-9]*(?:\\.[A-Za-z0-9_-]+)?)}");

    /**
     * How requests become playbacks; times in nanoseconds.
     *
     * @param window how much lines may be out of order
     * @param idle a playback without a request for so long is over
     * @param gap a span without any line that is looked into
     * @param again tries of one viewer at most so far apart belong together
     * @param most playbacks held open at once
     * @param heldLines lines held at once to bring them into order
     */
    public record Sessions(long window, long idle, long gap, long again, int most, int heldLines) {
        /** What a mapping has where it says nothing. */
        public static final Sessions DEFAULT = new Sessions(5_000_000_000L, 60_000_000_000L, 30_000_000_000L,
            15_000_000_000L, 200_000, 50_000);
    }

    private record Rule(Meant.Kind kind, String method, Template uri, String reason, Map<String, String> values,
        List<String> placed, Map<String, Integer> whole) { }

    /** Asked of a mapping: what a request means, or why nothing. */
    public record Outcome(Meant meant, String reason) { }

    private final SourceSettings source;
    private final Sessions sessions;
    private final List<Rule> rules = new ArrayList<>();
    private final List<String> ids;
    private final Names titles;
    private final Names plans;
    private final Names tenants;
    private final List<String> live;
    private final Map<String, Integer> ladder = new HashMap<>();
    private final double badShare;
    private final Map<String, Long> offsets = new LinkedHashMap<>();
    private final boolean findOffsets;

    private Mapping(Doc.Section root) {
        source = SourceSettings.read(root.section("source"));
        Doc.Section s = root.optional("sessions");
        Sessions d = Sessions.DEFAULT;
        sessions = new Sessions(s.time("window", d.window), s.time("idle", d.idle), s.time("gap", d.gap),
            s.time("again", d.again), (int) s.whole("most", 1, 10_000_000, d.most),
            (int) s.whole("held-lines", 1, 10_000_000, d.heldLines));
        List<String> told = s.texts("ids");
        ids = told.isEmpty() ? List.of("sid", "address-agent") : told;
        for (String id : ids) {
            if (!id.matches("sid|address-agent|address|(cookie|query|field|cmcd):.+")) {
                s.wrong("ids", "sid, cmcd:KEY, cookie:NAME, query:NAME, field:NAME, address-agent or address, not '" + id + "'");
            }
        }
        titles = Names.read(root.optional("titles"));
        Doc.Section p = root.optional("plans");
        plans = Names.read(p);
        live = p.texts("live");
        tenants = Names.read(root.optional("tenants"));
        for (String rung : root.texts("ladder")) {
            if (ladder.put(rung, ladder.size()) != null) {
                root.wrong("ladder", "names that differ");
            }
        }
        badShare = root.optional("limits").real("bad", 0, 1, 0.01);
        Doc.Section c = root.optional("clocks");
        findOffsets = c.flag("find", false);
        Doc.Section o = c.optional("offsets");
        for (String server : o.keys()) {
            boolean back = o.text(server).startsWith("-");
            offsets.put(server, back ? -signed(o, server) : signed(o, server));
        }
        for (Doc.Section r : root.sections("requests")) {
            rule(r);
        }
        if (rules.stream().noneMatch(r -> r.kind == Meant.Kind.ASK)) {
            root.wrong("requests", "one rule at least of kind ask");
        }
    }

    private static long signed(Doc.Section o, String server) {
        Matcher m = Pattern.compile("-?([0-9]+(?:\\.[0-9]+)?)(ms|s|m)").matcher(o.text(server));
        if (!m.matches()) {
            o.wrong(server, "a time such as -2s or 350ms");
            return 0;
        }
        return (long) (Double.parseDouble(m.group(1)) * switch (m.group(2)) {
            case "ms" -> 1e6;
            case "s" -> 1e9;
            default -> 6e10;
        });
    }

    /** Reads a mapping whole; faults go to the file's list. */
    public static Mapping read(Doc doc) {
        return new Mapping(doc.root());
    }

    private void rule(Doc.Section r) {
        Meant.Kind kind = r.choice("kind", Meant.Kind.class, null);
        Template template = null;
        try {
            template = new Template(r.text("uri"));
        } catch (IllegalArgumentException e) {
            r.wrong("uri", "a template such as /play/{title}/main.m3u8 (" + e.getMessage() + ")");
        }
        Map<String, String> values = new LinkedHashMap<>();
        for (String field : List.of("title", "plan", "tenant", "rung", "segment", "screen", "hint", "session")) {
            String value = r.text(field, "");
            if (value.isEmpty() && template != null && template.names().contains(field)) {
                value = "{" + field + "}";
            }
            if (!value.isEmpty()) {
                values.put(field, value);
            }
            Matcher m = PLACE.matcher(value);
            while (template != null && m.find()) {
                String name = m.group(1);
                if (!name.matches("(query|cookie|field)\\..+") && !template.names().contains(name)) {
                    r.wrong(field, "a part of uri, or query.NAME, cookie.NAME or field.NAME, not {" + name + "}");
                }
            }
        }
        if (kind == Meant.Kind.ASK && !values.containsKey("title")) {
            r.wrong("title", "to be told by a rule of kind ask");
        }
        if (template != null && kind != null) {
            Map<String, Integer> whole = new HashMap<>();
            for (Map.Entry<String, String> value : values.entrySet()) {
                int part = template.names().indexOf(value.getValue().replaceAll("^\\{|}$", ""));
                if (value.getValue().startsWith("{") && part >= 0) {
                    whole.put(value.getKey(), part);
                }
            }
            rules.add(new Rule(kind, r.text("method", kind == Meant.Kind.END ? "DELETE" : "GET"), template,
                r.text("reason", "not a playback's"), values, template.names(), whole));
        }
    }

    /** How the source is written. */
    public SourceSettings source() {
        return source;
    }

    /** How requests become playbacks. */
    public Sessions sessions() {
        return sessions;
    }

    /** Share of bad lines beyond which a source is refused. */
    public double badShare() {
        return badShare;
    }

    /** Clock offsets by server, nanoseconds to add to its times. */
    public Map<String, Long> offsets() {
        return offsets;
    }

    /** Whether servers' clock offsets are to be found from playbacks that several served. */
    public boolean findOffsets() {
        return findOffsets;
    }

    /** What a request means. The first rule whose URI and method fit decides. */
    public Outcome meaning(Hit hit) {
        if (hit.uri().isEmpty()) {
            return new Outcome(null, "no HTTP request");
        }
        int mark = hit.uri().indexOf('?');
        String path = mark < 0 ? hit.uri() : hit.uri().substring(0, mark);
        boolean fits = false;
        for (Rule rule : rules) {
            String[] parts = rule.uri.parts(path);
            if (parts != null) {
                if (rule.method.equals(hit.method()) || hit.method().isEmpty()) {
                    return rule.kind == Meant.Kind.IGNORE ? new Outcome(null, rule.reason)
                        : meant(rule, parts, hit, query(mark < 0 ? "" : hit.uri().substring(mark + 1)));
                }
                fits = true;
            }
        }
        return new Outcome(null, fits ? "other method" : "no rule");
    }

    private Outcome meant(Rule rule, String[] parts, Hit hit, Map<String, String> query) {
        String title = value(rule, "title", parts, hit, query);
        String plan = value(rule, "plan", parts, hit, query);
        String tenant = value(rule, "tenant", parts, hit, query);
        boolean ask = rule.kind == Meant.Kind.ASK;
        if (ask || !title.isEmpty()) {
            title = titles.of(title);
        }
        if (ask || !plan.isEmpty()) {
            plan = plans.of(plan);
        } else {
            plan = plans.otherwise();
        }
        if (!tenant.isEmpty() || !tenants.otherwise().isEmpty()) {
            tenant = tenants.of(tenant);
        }
        if (title == null || plan == null || tenant == null) {
            return new Outcome(null, title == null ? "unknown title" : plan == null ? "unknown plan"
                : "unknown tenant");
        }
        List<String> keys = new ArrayList<>(3);
        String session = value(rule, "session", parts, hit, query);
        if (!session.isEmpty()) {
            keys.add("session:" + session);
        }
        String weak = "";
        for (String id : ids) {
            String key = id(id, hit, query);
            if (key.isEmpty()) {
                continue;
            }
            if (id.startsWith("address")) {
                weak = weak.isEmpty() ? key : weak;
            } else {
                // Another CMCD key that names a session names it as sid does.
                keys.add((id.startsWith("cmcd:") ? "sid" : id) + ":" + key);
            }
        }
        boolean sure = !keys.isEmpty();
        if (!sure) {
            if (weak.isEmpty()) {
                return new Outcome(null, "nothing to know the viewer by");
            }
            keys.add(weak);
        }
        long segment = number(value(rule, "segment", parts, hit, query));
        long screen = number(value(rule, "screen", parts, hit, query));
        long hint = number(value(rule, "hint", parts, hit, query));
        String rung = value(rule, "rung", parts, hit, query);
        return new Outcome(new Meant(hit, hit.at(), rule.kind, title, plan, tenant,
            rung.isEmpty() ? -1 : ladder.getOrDefault(rung, ladder.isEmpty() ? (int) Math.min(64, number(rung)) : -1),
            rule.kind == Meant.Kind.SEGMENT ? segment : -1, (int) Math.min(64, screen),
            (int) Math.max(0, Math.min(1_000_000, hint)), live.contains(plan), keys, sure), "");
    }

    private static String id(String id, Hit hit, Map<String, String> query) {
        if (id.equals("sid") || id.startsWith("cmcd:")) {
            String name = id.equals("sid") ? "sid" : id.substring(5);
            String value = cmcd(hit.cmcd(), name);
            return !value.isEmpty() ? value : cmcd(query.getOrDefault("CMCD", ""), name);
        }
        if (id.startsWith("address")) {
            // A page or an address; an agent alone is no viewer.
            return hit.client().isEmpty() ? "" : id.equals("address") ? hit.client() : hit.client() + "|" + hit.agent();
        }
        return id.startsWith("query:") ? query.getOrDefault(id.substring(6), "") : hit.more().getOrDefault(id, "");
    }

    /** A text of CMCD (CTA-5004), such as sid; empty where there is none or it can't be read. */
    static String cmcd(String text, String name) {
        if (text.isEmpty() || !text.contains(name)) {
            return "";
        }
        try {
            Dictionary keys = new Parser(text).parseDictionary();
            ListElement<?> found = keys.get().get(name);
            return found instanceof StringItem s ? s.get() : "";
        } catch (ParseException e) {
            return "";
        }
    }

    private static String value(Rule rule, String field, String[] parts, Hit hit, Map<String, String> query) {
        String text = rule.values.get(field);
        if (text == null) {
            return "";
        }
        if (text.indexOf('{') < 0) {
            return text;
        }
        // Most fields are one part of the path and nothing else.
        int part = rule.whole.getOrDefault(field, -1);
        if (part >= 0) {
            return parts[part];
        }
        Matcher m = PLACE.matcher(text);
        StringBuilder out = new StringBuilder();
        while (m.find()) {
            String name = m.group(1);
            int dot = name.indexOf('.');
            String found;
            if (dot < 0) {
                found = parts[rule.placed.indexOf(name)];
            } else {
                String of = name.substring(dot + 1);
                found = name.startsWith("query.") ? query.get(of)
                    : hit.more().get(name.substring(0, dot) + ":" + of);
            }
            m.appendReplacement(out, Matcher.quoteReplacement(found == null ? "" : found));
        }
        return m.appendTail(out).toString();
    }

    private static long number(String text) {
        if (text.isEmpty() || text.length() > 18) {
            return -1;
        }
        long n = 0;
        for (int i = 0; i < text.length(); i++) {
            char c = text.charAt(i);
            if (c < '0' || c > '9') {
                return -1;
            }
            n = 10 * n + c - '0';
        }
        return n;
    }

    private static Map<String, String> query(String text) {
        if (text.isEmpty()) {
            return Map.of();
        }
        Map<String, String> fields = new HashMap<>();
        for (String pair : text.split("&")) {
            int is = pair.indexOf('=');
            fields.putIfAbsent(decoded(is < 0 ? pair : pair.substring(0, is)),
                is < 0 ? "" : decoded(pair.substring(is + 1)));
        }
        return fields;
    }

    private static String decoded(String text) {
        if (text.indexOf('%') < 0 && text.indexOf('+') < 0) {
            return text;
        }
        try {
            return URLDecoder.decode(text, StandardCharsets.UTF_8);
        } catch (IllegalArgumentException e) {
            return text; // A stray percent sign: taken as it stands, as servers do.
        }
    }
}
