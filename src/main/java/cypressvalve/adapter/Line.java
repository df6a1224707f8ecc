package cypressvalve.adapter;

/** One line of the wire: the message's name and its fields, in any order. */
final class Line {
    final String name;
    private final String[] keys = new String[24];
    private final String[] values = new String[24];
    private int count;

    /** Reads a line. The field named by textField, if it has one, runs to the end of the line. */
    Line(String text, String textField) {
        int end = text.indexOf(' ');
        name = end < 0 ? text : text.substring(0, end);
        if (name.isEmpty()) {
            throw new BadInput("no message name");
        }
        int at = end < 0 ? text.length() : end + 1;
        while (at < text.length()) {
            int eq = text.indexOf('=', at);
            int gap = text.indexOf(' ', at);
            if (eq < 0 || (gap >= 0 && gap < eq) || eq == at) {
                throw new BadInput(name + ": a part without name=value");
            }
            String key = text.substring(at, eq);
            int stop = gap < 0 || key.equals(textField) ? text.length() : gap;
            if (count == keys.length) {
                throw new BadInput(name + ": too many fields");
            }
            keys[count] = key;
            values[count++] = text.substring(eq + 1, stop);
            at = stop + 1;
        }
    }

    /** The field's text, or null if it is left out. */
    String find(String key) {
        for (int i = 0; i < count; i++) {
            if (keys[i].equals(key)) {
                return values[i];
            }
        }
        return null;
    }

    String text(String key) {
        String value = find(key);
        if (value == null || value.isEmpty()) {
            throw new BadInput(name + ": field " + key + " is missing");
        }
        return value;
    }

    String text(String key, String otherwise) {
        String value = find(key);
        return value == null || value.isEmpty() ? otherwise : value;
    }

    long whole(String key) {
        try {
            return Long.parseLong(text(key));
        } catch (NumberFormatException e) {
            throw bad(key, "a whole number");
        }
    }

    long whole(String key, long otherwise) {
        return text(key, null) == null ? otherwise : whole(key);
    }

    double real(String key) {
        return real(text(key), key);
    }

    double real(String key, double otherwise) {
        return text(key, null) == null ? otherwise : real(key);
    }

    double real(String value, String key) {
        try {
            double number = Double.parseDouble(value);
            if (Double.isFinite(number)) {
                return number;
            }
        } catch (NumberFormatException e) {
            // falls through to the same complaint
        }
        throw bad(key, "a number");
    }

    boolean flag(String key) {
        return switch (text(key, "0")) {
            case "1", "true" -> true;
            case "0", "false" -> false;
            default -> throw bad(key, "a flag");
        };
    }

    /** The value of one named part of a pairs field, NaN if it is not there. */
    double pair(String key, String part) {
        String pairs = text(key, null);
        if (pairs == null || pairs.equals("-")) {
            return Double.NaN;
        }
        double found = Double.NaN;
        for (String pair : pairs.split(",")) {
            int colon = pair.indexOf(':');
            if (colon <= 0) {
                throw bad(key, "a list of name:value pairs");
            }
            double value = real(pair.substring(colon + 1), key);
            if (pair.substring(0, colon).equals(part)) {
                found = value;
            }
        }
        return found;
    }

    BadInput bad(String key, String wanted) {
        return new BadInput(name + ": field " + key + " is not " + wanted);
    }
}
