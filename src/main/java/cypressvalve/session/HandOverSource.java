package cypressvalve.session;

import java.util.TreeMap;

/** Where sessions are handed over from, such as a client's connection. */
public final class HandOverSource {
    /** Those from here that are not confirmed, by when they came. */
    final TreeMap<Long, HandOvers.Claim> claims = new TreeMap<>();
}
