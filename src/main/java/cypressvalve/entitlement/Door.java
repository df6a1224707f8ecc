package cypressvalve.entitlement;

import cypressvalve.entitlement.Terms.Wanted;

/**
 * Where a viewer's token is looked at, whatever front it came by: reads it, asks the terms, says what the core has to
 * hold. Free of I/O; who owns the key file replaces keys by {@link #keys()}.
 */
public final class Door {
    /** Told why somebody was not let in, for counts; never the token. */
    public interface Refusals {
        void refused(Refusal why);
    }

    /** What the core holds of a token: its name, how many at once, and when a playback by it ends. */
    public record Grant(String token, int atOnce, long endsAt) { }

    private final TokenReader reader;
    private final Terms terms;
    private final Refusals refusals;

    public Door(TokenReader reader, Terms terms, Refusals refusals) {
        this.reader = reader;
        this.terms = terms;
        this.refusals = refusals;
    }

    /** The reader, whose keys may be replaced while it reads. */
    public TokenReader keys() {
        return reader;
    }

    /** Lets in whoever brings a token that is good for what is wanted. */
    public Grant admit(String text, Wanted wanted) throws TokenReader.Refused {
        return granted(text, wanted, null);
    }

    /**
     * Renews a playback that began by the token of that name.
     *
     * @throws TokenReader.Refused if this token does not; the playback then goes on as if it had not come
     */
    public Grant renew(String id, String text, Wanted wanted) throws TokenReader.Refused {
        return granted(text, wanted, id);
    }

    private Grant granted(String text, Wanted wanted, String id) throws TokenReader.Refused {
        try {
            Token token = reader.read(text, wanted.now());
            Refusal why = id == null ? terms.refuses(token, wanted) : terms.refusesRenewal(id, token, wanted);
            if (why != null) {
                throw new TokenReader.Refused(why);
            }
            return new Grant(token.id(), token.atOnce(), terms.endsAt(token));
        } catch (TokenReader.Refused e) {
            refusals.refused(e.why());
            throw e;
        }
    }
}
