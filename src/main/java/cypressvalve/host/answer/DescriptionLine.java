package cypressvalve.host.answer;

import java.util.Arrays;
import java.util.List;
import java.util.regex.Pattern;

/**
 * One line of a session description, without its end: {@code type=value} (RFC 8866, section 5), or other text.
 *
 * @param type the letter before the equals sign, 0 where the line is other text
 * @param value what stands behind the equals sign; the whole line where it is other text
 */
record DescriptionLine(char type, String value) {
    /** The types that RFC 8866 knows; a description with any other is to be rejected or ignored whole. */
    private static final String KNOWN_TYPES = "vosiuepcbtrzkam";
    private static final Pattern HEXADECIMAL = Pattern.compile("[0-9a-fA-F]+");
    private static final int ORIGIN_FIELDS = 6;
    private static final int CONNECTION_FIELDS = 3;
    private static final Pattern ADDRESS = Pattern.compile("[0-9A-Za-z.:-]+(/[0-9]{1,3}){0,2}");
    private static final Pattern DOTTED = Pattern.compile("[0-9.]+");
    private static final Pattern OCTET = Pattern.compile("[0-9]|[1-9][0-9]|1[0-9]{2}|2[0-4][0-9]|25[0-5]");
    private static final int OCTETS = 4;
    private static final Pattern TIMES = Pattern.compile("[0-9]{1,20} [0-9]{1,20}");
    private static final Pattern VERSION = Pattern.compile("0");

    static DescriptionLine of(String line) {
        boolean typed = line.length() > 1 && line.charAt(1) == '=' && Character.isLetter(line.charAt(0));
        return typed ? new DescriptionLine(line.charAt(0), line.substring(2)) : new DescriptionLine((char) 0, line);
    }

    boolean typed() {
        return type != 0;
    }

    boolean hexadecimal() {
        return !typed() && HEXADECIMAL.matcher(value).matches();
    }

    /** A word for what kind of line it is, equal for lines of one kind. */
    String kind() {
        return typed() ? String.valueOf(type) : hexadecimal() ? "hex" : "text";
    }

    /** Whether a typed line's value has the form that RFC 8866 gives for its type, where that is strict enough to tell. */
    boolean wellFormed() {
        if (!typed() || KNOWN_TYPES.indexOf(type) < 0 || value.isEmpty()) {
            return false;
        }
        return switch (type) {
            case 'v' -> VERSION.matcher(value).matches();
            case 'o' -> fields().size() == ORIGIN_FIELDS;
            case 'c' -> isConnection();
            case 'b' -> value.indexOf(':') > 0;
            case 't' -> TIMES.matcher(value).matches();
            case 'm' -> MediaLine.of(value).isPresent();
            default -> true;
        };
    }

    private boolean isConnection() {
        List<String> fields = fields();
        if (fields.size() != CONNECTION_FIELDS || !ADDRESS.matcher(fields.get(2)).matches()) {
            return false;
        }
        String address = fields.get(2).split("/")[0];
        return !fields.get(1).equals("IP4") || !DOTTED.matcher(address).matches() || isIp4(address);
    }

    private static boolean isIp4(String address) {
        String[] octets = address.split("\\.", -1);
        return octets.length == OCTETS && Arrays.stream(octets).allMatch(octet -> OCTET.matcher(octet).matches());
    }

    private List<String> fields() {
        return Arrays.asList(value.split(" ", -1));
    }
}
