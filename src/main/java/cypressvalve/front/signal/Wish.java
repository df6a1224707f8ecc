package cypressvalve.front.signal;

import cypressvalve.model.Settings;
import cypressvalve.session.Ask;
import java.util.HashMap;
import java.util.Map;
import java.util.regex.Pattern;

/**
 * A set-up as it is to be understood: what is asked, and where it plays already. Anything in it that the settings do
 * not know, or that is out of their range, is a fault that names the parameter.
 *
 * @param at the media host's name where the session plays already, else null
 */
record Wish(Ask ask, String at) {
    /** Longer than any viewer waits or watches. */
    private static final double MOST_MS = 1e9;
    private static final double MS = 1e6;
    private static final String HANDED_OVER = "at:";
    private static final Pattern TITLE = Pattern.compile("[0-9A-Za-z._-]{1,64}");

    /** A set-up that can't be understood; the cause is one of Q.850. */
    static final class Refused extends Exception {
        private static final long serialVersionUID = 1;
        static final int ABSENT = 96;
        static final int INVALID = 100;
        private final int cause;

        private Refused(int cause, String what) {
            super(what, null, false, false);
            this.cause = cause;
        }

        int cause() {
            return cause;
        }
    }

    /** Whether a set-up hands over a session that plays already, or can't be told not to. */
    static boolean handsOver(Signal set) {
        String figures = set.text(Signal.FIGURES);
        return !set.whole() || set.session() == 0 || figures == null || figures.startsWith(HANDED_OVER) || figures.contains(";" + HANDED_OVER);
    }

    static Wish read(Signal set, Settings settings) throws Refused {
        if (!set.whole() || set.session() == 0) {
            throw new Refused(Refused.INVALID, "parameters");
        }
        String plan = named(set, Signal.PLAN, settings.plansByName);
        String tenant = settings.tenants.isEmpty() ? "" : named(set, Signal.TENANT, settings.tenants);
        String title = present(set, Signal.TITLE);
        if (!TITLE.matcher(title).matches()) {
            throw new Refused(Refused.INVALID, "title");
        }
        double wait = number(present(set, Signal.WAIT), "wait", MOST_MS);
        String hint = set.text(Signal.HINT);
        Map<String, String> figures = figures(present(set, Signal.FIGURES));
        String at = figures.get("at");
        byte[] description = set.parameters().get(Signal.DESCRIPTION);
        if (description == null && at == null) {
            throw new Refused(Refused.ABSENT, "description");
        }
        int first = whole(figures, "home", settings.cells - 1);
        int copies = whole(figures, "copies", Integer.MAX_VALUE);
        int top = figures.containsKey("top") ? whole(figures, "top", Integer.MAX_VALUE) : settings.ladder.length - 1;
        return new Wish(new Ask("", title, plan, tenant, top, hint == null ? 0 : (long) (number(hint, "hint", MOST_MS) * MS),
            (long) (wait * MS), null, new Ask.Offer(set.id(), at == null ? description : null, first, copies)), at);
    }

    private static String present(Signal set, int code) throws Refused {
        String text = set.text(code);
        if (text == null) {
            throw new Refused(Refused.ABSENT, "parameter " + code);
        }
        return text;
    }

    private static String named(Signal set, int code, Map<String, ?> known) throws Refused {
        String name = present(set, code);
        if (!known.containsKey(name)) {
            throw new Refused(Refused.INVALID, "parameter " + code);
        }
        return name;
    }

    private static double number(String text, String what, double most) throws Refused {
        try {
            double value = text.length() > 32 ? Double.NaN : Double.parseDouble(text);
            if (value >= 0 && value <= most) {
                return value;
            }
        } catch (NumberFormatException e) {
            // Told below.
        }
        throw new Refused(Refused.INVALID, what);
    }

    private static int whole(Map<String, String> figures, String key, int most) throws Refused {
        String text = figures.get(key);
        if (text == null) {
            throw new Refused(Refused.ABSENT, key);
        }
        double value = number(text, key, most);
        if (value != Math.rint(value)) {
            throw new Refused(Refused.INVALID, key);
        }
        return (int) value;
    }

    private static Map<String, String> figures(String text) throws Refused {
        Map<String, String> figures = new HashMap<>();
        for (String part : text.split(";")) {
            int colon = part.indexOf(':');
            if (colon <= 0) {
                throw new Refused(Refused.INVALID, "figures");
            }
            figures.put(part.substring(0, colon), part.substring(colon + 1));
        }
        return figures;
    }
}
