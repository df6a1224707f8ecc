package cypressvalve.front.hls;

import cypressvalve.config.Service;
import cypressvalve.session.Ask;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.greenbytes.http.sfv.Dictionary;
import org.greenbytes.http.sfv.ListElement;
import org.greenbytes.http.sfv.ParseException;
import org.greenbytes.http.sfv.Parser;
import org.greenbytes.http.sfv.StringItem;

/** A viewer's request in HTTP's words turned into an ask: free of I/O, so that every odd request can be tested. */
public final class AskReader {
    /** RFC 7240, section 4.3: the preference wait in whole seconds. */
    private static final Pattern WAIT = Pattern.compile("(?:^|[,;])\\s*wait\\s*=\\s*\"?([0-9]{1,9})\"?\\s*(?:$|[,;])",
        Pattern.CASE_INSENSITIVE);
    private static final long SECOND = 1_000_000_000L;
    /** CTA-5004: a sid has 64 characters at most. */
    private static final int LONGEST_SID = 64;

    private AskReader() {
    }

    /** A request that reaches no decision: the status and what is wrong with it. */
    public static final class Refused extends Exception {
        private static final long serialVersionUID = 1;
        private final int status;

        Refused(int status, String detail) {
            super(detail);
            this.status = status;
        }

        /** The HTTP status. */
        public int status() {
            return status;
        }
    }

    /**
     * @param query the query's fields, decoded
     * @param prefer the Prefer field's value, or null
     * @param cmcdSession the CMCD-Session field's value, or null
     */
    public static Ask read(Service service, String title, Map<String, String> query, String prefer,
        String cmcdSession) throws Refused {
        if (!service.titles().containsKey(title)) {
            throw new Refused(404, "no such title");
        }
        Service.PlanRow plan = service.plans().get(query.getOrDefault("plan", ""));
        if (plan == null) {
            throw new Refused(400, "plan: expected one of the service's plans");
        }
        if (plan.live() != service.titles().get(title).live()) {
            throw new Refused(400, "plan: expected a plan for " + (plan.live() ? "recorded" : "live") + " titles");
        }
        String tenant = query.getOrDefault("tenant", "");
        if (!service.tenants().isEmpty() && !service.tenants().containsKey(tenant)) {
            throw new Refused(400, "tenant: expected one of the service's tenants");
        }
        int top = service.ladder().length - 1;
        int ceiling = (int) Math.min(top, number(query, "screen", top));
        long hint = number(query, "hint", 0) * SECOND;
        long patience = Math.min(plan.abandon(), wait(prefer, plan.abandon()));
        return new Ask(sid(cmcdSession, query.get("CMCD")), title, plan.name(), tenant, ceiling, hint, patience);
    }

    private static long number(Map<String, String> query, String key, long otherwise) throws Refused {
        String text = query.get(key);
        if (text == null) {
            return otherwise;
        }
        if (!text.matches("[0-9]{1,9}")) {
            throw new Refused(400, key + ": expected a whole number");
        }
        return Long.parseLong(text);
    }

    /** Nanoseconds that the viewer prefers to wait; a preference that can't be read is none (RFC 7240, section 2). */
    static long wait(String prefer, long otherwise) {
        Matcher m = WAIT.matcher(prefer == null ? "" : prefer);
        return m.find() ? Math.max(1, Long.parseLong(m.group(1))) * SECOND : otherwise;
    }

    /** The session id of CMCD (CTA-5004), from the header or else the query; what can't be read is left out. */
    static String sid(String header, String query) {
        for (String text : new String[] {header, query}) {
            if (text != null) {
                try {
                    Dictionary keys = new Parser(text).parseDictionary();
                    ListElement<?> sid = keys.get().get("sid");
                    if (sid instanceof StringItem s && !s.get().isEmpty() && s.get().length() <= LONGEST_SID) {
                        return s.get();
                    }
                } catch (ParseException e) {
                    continue;
                }
            }
        }
        return "";
    }
}
