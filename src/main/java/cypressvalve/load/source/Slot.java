package cypressvalve.load.source;

import java.time.format.DateTimeFormatter;

/**
 * What one field of a log line means.
 *
 * @param name of a cookie or request field, else empty
 * @param form of a time that a strftime format describes, else null
 */
record Slot(Kind kind, String name, DateTimeFormatter form) {
    /** The meanings. Times of a request's end are those of servers that log when they have answered. */
    enum Kind {
        IGNORED, ADDRESS, AGENT, METHOD, URI, PATH, QUERY, REQUEST, STATUS, BYTES, COOKIES, COOKIE, FIELD,
        TIME_CLF, TIME_CLF_END, TIME_ISO, TIME_ISO_END, TIME_SECONDS, TIME_SECONDS_END, TIME_MILLIS, TIME_MICROS,
        TIME_FORM, DATE, TIME_OF_DAY, TOOK_SECONDS, TOOK_MILLIS, TOOK_MICROS, TIME_MILLIS_END, PAGE
    }

    static Slot of(Kind kind) {
        return new Slot(kind, "", null);
    }

    static Slot named(Kind kind, String name) {
        return new Slot(kind, name, null);
    }

    boolean time() {
        return kind.name().startsWith("TIME_") || kind == Kind.DATE;
    }
}
