package cypressvalve.load.source;

import java.time.DateTimeException;
import java.time.Instant;
import java.time.LocalDateTime;
import java.time.OffsetDateTime;
import java.time.ZoneId;
import java.time.ZoneOffset;
import java.time.ZonedDateTime;
import java.time.format.DateTimeFormatter;
import java.time.format.DateTimeFormatterBuilder;
import java.time.format.TextStyle;
import java.time.temporal.ChronoField;
import java.time.temporal.TemporalAccessor;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/** Times as logs write them, as nanoseconds since 1970. One object reads one source, as it remembers the last time. */
public final class Times {
    private static final long SECOND = 1_000_000_000L;
    private static final DateTimeFormatter CLF = DateTimeFormatter.ofPattern("dd/MMM/yyyy:HH:mm:ss Z", Locale.ROOT);
    private static final Map<Character, String> STRFTIME = Map.ofEntries(Map.entry('Y', "uuuu"), Map.entry('m', "MM"),
        Map.entry('d', "dd"), Map.entry('H', "HH"), Map.entry('M', "mm"), Map.entry('S', "ss"), Map.entry('b', "MMM"),
        Map.entry('z', "Z"), Map.entry('y', "uu"), Map.entry('T', "HH:mm:ss"), Map.entry('F', "uuuu-MM-dd"),
        Map.entry('e', "d"), Map.entry('j', "DDD"), Map.entry('I', "hh"), Map.entry('p', "a"),
        Map.entry('R', "HH:mm"), Map.entry('D', "MM/dd/uu"));

    private final ZoneId zone;
    private long lastClf = Long.MIN_VALUE;
    private String lastText = "";
    private long latest = Long.MIN_VALUE;

    /** @param zone of times that name none */
    public Times(ZoneId zone) {
        this.zone = zone;
    }

    /** A time of NCSA logs, such as 10/Oct/2000:13:55:36 -0700. */
    public long clf(String text) throws DateTimeException {
        // Logs have many lines a second, and reading a date is the dearest part of a line.
        if (!text.equals(lastText)) {
            lastClf = nanos(CLF.parse(text, OffsetDateTime::from).toInstant());
            lastText = text;
        }
        return lastClf;
    }

    /** A time by ISO 8601, with or without an offset. */
    public long iso(String text) throws DateTimeException {
        TemporalAccessor read = DateTimeFormatter.ISO_DATE_TIME.parseBest(text.replace(' ', 'T'), OffsetDateTime::from,
            LocalDateTime::from);
        return read instanceof OffsetDateTime at ? nanos(at.toInstant()) : local((LocalDateTime) read);
    }

    /** Seconds since 1970 with any fraction, as nginx writes $msec. */
    public static long seconds(String text) {
        int dot = text.indexOf('.');
        if (dot < 0) {
            return Math.multiplyExact(Long.parseLong(text), SECOND);
        }
        String part = (text.substring(dot + 1) + "000000000").substring(0, 9);
        return Math.addExact(Math.multiplyExact(Long.parseLong(text.substring(0, dot)), SECOND),
            Long.parseLong(part));
    }

    /** A time by a format of strftime, in this source's zone unless it names one. */
    public long by(DateTimeFormatter format, String text) throws DateTimeException {
        TemporalAccessor read = format.parseBest(text, OffsetDateTime::from, LocalDateTime::from);
        return read instanceof OffsetDateTime at ? nanos(at.toInstant()) : local((LocalDateTime) read);
    }

    /**
     * A time without an offset. In the hour that a zone has twice the first is taken, unless that would go back
     * behind what was read before by half an hour or more: then the second.
     */
    public long local(LocalDateTime time) {
        List<ZoneOffset> offsets = zone.getRules().getValidOffsets(time);
        long at = nanos(offsets.isEmpty() ? ZonedDateTime.of(time, zone).toInstant()
            : time.toInstant(offsets.get(0)));
        if (offsets.size() > 1 && latest != Long.MIN_VALUE && at < latest - 1800 * SECOND) {
            at = nanos(time.toInstant(offsets.get(1)));
        }
        latest = Math.max(latest, at);
        return at;
    }

    private static long nanos(Instant at) {
        return Math.addExact(Math.multiplyExact(at.getEpochSecond(), SECOND), at.getNano());
    }

    /**
     * The reader for a strftime format.
     *
     * @throws IllegalArgumentException if it has a conversion that is not known here
     */
    static DateTimeFormatter strftime(String format) {
        DateTimeFormatterBuilder builder = new DateTimeFormatterBuilder();
        for (int i = 0; i < format.length(); i++) {
            char c = format.charAt(i);
            if (c != '%') {
                builder.appendLiteral(c);
            } else if (++i < format.length() && format.charAt(i) == '%') {
                builder.appendLiteral('%');
            } else if (i < format.length() && format.charAt(i) == 'Z') {
                builder.appendZoneText(TextStyle.SHORT);
            } else {
                String pattern = i < format.length() ? STRFTIME.get(format.charAt(i)) : null;
                if (pattern == null) {
                    throw new IllegalArgumentException("%" + (i < format.length() ? format.charAt(i) : ""));
                }
                builder.appendPattern(pattern);
            }
        }
        return builder.parseDefaulting(ChronoField.NANO_OF_SECOND, 0).toFormatter(Locale.ROOT);
    }
}
