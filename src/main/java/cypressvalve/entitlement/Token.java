package cypressvalve.entitlement;

import java.util.List;

/**
 * What a verified token entitles to. Times are nanoseconds since 1970.
 *
 * @param id the token's own name (jti, RFC 7519, section 4.1.7); renewals keep it
 * @param tenant whose viewer it is
 * @param plans plans that it is good for, empty for all of the tenant's
 * @param titles titles, or beginnings of titles that end in *; empty for all
 * @param atOnce playbacks at once
 */
public record Token(String id, String tenant, List<String> plans, List<String> titles, long from, long until,
    int atOnce) { }
