package cypressvalve.entitlement;

/** Why a token does not entitle; nothing of the token itself is ever told or logged. */
public enum Refusal {
    /** No token where one is needed. */
    MISSING,
    /** Longer than any that is issued. */
    OVERSIZED,
    /** Not a token, cut, of another algorithm than its key's, or of a key that is not in the set. */
    INVALID,
    /** Signed well, but a claim is missing or of another kind. */
    CLAIMS,
    /** Not good yet, beyond the allowed skew. */
    EARLY,
    /** Over, beyond the allowed skew. */
    EXPIRED,
    /** Of another tenant than the request's. */
    TENANT,
    /** Not good for the plan. */
    PLAN,
    /** Not good for the title. */
    TITLE,
    /** Another viewer's token was brought to renew this one. */
    OTHER;

    /** Whether another token may help (401, RFC 6750); else what is asked is not the token's to give (403). */
    public boolean anotherTokenHelps() {
        return ordinal() <= EXPIRED.ordinal();
    }
}
