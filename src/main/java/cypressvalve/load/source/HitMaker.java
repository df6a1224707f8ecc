package cypressvalve.load.source;

import java.time.DateTimeException;
import java.time.LocalDate;
import java.time.LocalDateTime;
import java.time.LocalTime;
import java.util.HashMap;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Gathers the fields of one line and makes the request of them; each wrong value is told with its column. */
final class HitMaker {
    private static final Pattern REQUEST = Pattern.compile("([!#$%&'*+.^_`|~0-9A-Za-z-]+) (\\S+)(?: HTTP/[0-9.]+)?");
    private static final Pattern ABSOLUTE = Pattern.compile("[A-Za-z][A-Za-z0-9+.-]*://[^/?#]*");
    private static final long SECOND = 1_000_000_000L;
    /** Sane bounds of a line's time: from 1990 to 2200; beyond them it is a wrong column, not a clock. */
    private static final long EARLIEST = 631_152_000L * SECOND;
    private static final long LATEST = 7_258_118_400L * SECOND;

    private final Times times;
    private final int server;
    private final int file;
    private long at;
    private boolean known;
    private boolean coarse;
    private boolean atEnd;
    private LocalDate date;
    private LocalTime ofDay;
    private String client;
    private String agent;
    private String method;
    private String uri;
    private String path;
    private String query;
    private int status;
    private long bytes;
    private long took;
    private String cmcd;
    private Map<String, String> more;
    /** The date of a W3C log's header, for lines without one of their own. */
    private LocalDate day;

    HitMaker(Times times, int server, int file) {
        this.times = times;
        this.server = server;
        this.file = file;
    }

    void day(LocalDate of) {
        day = of;
    }

    void begin() {
        known = coarse = atEnd = false;
        date = null;
        ofDay = null;
        client = agent = method = path = query = cmcd = "";
        uri = null;
        status = -1;
        bytes = took = -1;
        more = Map.of();
    }

    /** Takes a field's value; "-" and the empty text say that there is none. */
    void take(Slot slot, String value, int column) throws BadLine {
        if (slot.kind() == Slot.Kind.IGNORED || value.equals("-") || value.isEmpty()) {
            if (slot.kind() == Slot.Kind.REQUEST) {
                uri = "";
            }
            return;
        }
        try {
            switch (slot.kind()) {
                case ADDRESS -> client = value.indexOf(',') < 0 ? value : value.substring(0, value.indexOf(',')).trim();
                case PAGE -> client = value;
                case AGENT -> agent = value;
                case METHOD -> method = value;
                case URI -> uri = value;
                case PATH -> path = value;
                case QUERY -> query = value.startsWith("?") ? value.substring(1) : value;
                case REQUEST -> request(value);
                case STATUS -> status = bounded(value, column, 0, 999, "a status of three digits");
                case BYTES -> bytes = Long.parseUnsignedLong(value);
                case COOKIES -> cookies(value);
                case COOKIE -> put("cookie:" + slot.name(), value);
                case FIELD -> field(slot.name(), value);
                case TIME_CLF -> time(times.clf(value), true, false);
                case TIME_CLF_END -> time(times.clf(value), true, true);
                case TIME_ISO -> time(times.iso(value), !value.contains("."), false);
                case TIME_ISO_END -> time(times.iso(value), !value.contains("."), true);
                case TIME_SECONDS -> time(Times.seconds(value), !value.contains("."), false);
                case TIME_SECONDS_END -> time(Times.seconds(value), !value.contains("."), true);
                case TIME_MILLIS -> time(Math.multiplyExact(Long.parseLong(value), 1_000_000L), false, false);
                case TIME_MILLIS_END -> time(Math.multiplyExact(Long.parseLong(value), 1_000_000L), false, true);
                case TIME_MICROS -> time(Math.multiplyExact(Long.parseLong(value), 1000L), false, false);
                case TIME_FORM -> time(times.by(slot.form(), value), true, false);
                case DATE -> date = LocalDate.parse(value);
                case TIME_OF_DAY -> ofDay = LocalTime.parse(value);
                case TOOK_SECONDS -> took = Times.seconds(value);
                case TOOK_MILLIS -> took = (long) (Double.parseDouble(value) * 1e6);
                case TOOK_MICROS -> took = Math.multiplyExact(Long.parseLong(value), 1000L);
                default -> throw new IllegalStateException(slot.kind().name());
            }
        } catch (DateTimeException e) {
            throw new BadLine(column, "a time, not '" + shown(value) + "'");
        } catch (NumberFormatException e) {
            throw new BadLine(column, "a number, not '" + shown(value) + "'");
        } catch (ArithmeticException e) {
            throw new BadLine(column, "a number within bounds, not '" + shown(value) + "'");
        }
    }

    private static String shown(String value) {
        return value.length() > 40 ? value.substring(0, 40) + "..." : value;
    }

    private static int bounded(String value, int column, int least, int most, String expected) throws BadLine {
        int n = Integer.parseInt(value);
        if (n < least || n > most) {
            throw new BadLine(column, expected + ", not '" + value + "'");
        }
        return n;
    }

    private void time(long when, boolean toTheSecond, boolean end) {
        // The finest time of a line counts, wherever it stands.
        if (!known || coarse && !toTheSecond) {
            at = when;
            known = true;
            coarse = toTheSecond;
            atEnd = end;
        }
    }

    /** A request line that is none is a client's fault, not the log's: the line is good and asks for nothing. */
    private void request(String value) {
        Matcher m = REQUEST.matcher(value);
        if (m.matches()) {
            method = m.group(1);
            uri = m.group(2);
        } else {
            uri = "";
        }
    }

    private void put(String key, String value) {
        if (more.isEmpty()) {
            more = new HashMap<>(4);
        }
        more.putIfAbsent(key, value);
    }

    private void cookies(String value) {
        for (String pair : value.split("[;]\\s*")) {
            int is = pair.indexOf('=');
            if (is > 0) {
                put("cookie:" + pair.substring(0, is).trim(), pair.substring(is + 1).trim());
            }
        }
    }

    private void field(String name, String value) {
        String low = name.toLowerCase(java.util.Locale.ROOT).replace('_', '-');
        if (low.startsWith("cmcd-")) {
            cmcd = cmcd.isEmpty() ? value : cmcd + "," + value;
        } else if (low.equals("user-agent")) {
            agent = value;
        } else if (low.equals("cookie")) {
            cookies(value);
        } else {
            put("field:" + low, value);
        }
    }

    /** The request of the fields taken. */
    Hit hit(long line) throws BadLine {
        if (ofDay != null) {
            LocalDate on = date == null ? day : date;
            if (on == null) {
                throw new BadLine(1, "a date in the line or in a #Date line before it");
            }
            time(times.local(LocalDateTime.of(on, ofDay)), ofDay.getNano() == 0, true);
        }
        if (!known) {
            throw new BadLine(1, "a time");
        }
        if (at < EARLIEST || at > LATEST) {
            throw new BadLine(1, "a time from 1990 to 2200");
        }
        if (atEnd && took > 0) {
            // To the second, a start within the same second is as likely as not: only whole seconds are taken off.
            at -= coarse ? (took + SECOND / 2) / SECOND * SECOND : took;
        }
        String target = uri != null ? uri : query.isEmpty() ? path : path + "?" + query;
        if (!target.startsWith("/")) {
            Matcher host = ABSOLUTE.matcher(target);
            target = host.lookingAt() ? target.substring(host.end()) : target;
        }
        return new Hit(server, file, line, at, coarse, client, agent, method, target, status, bytes, took, cmcd, more);
    }
}
