package cypressvalve.entitlement;

import java.util.List;
import java.util.function.Predicate;

/**
 * Decides whether a token is good for what is asked, and what a renewal changes: an ordered list of rules, the first
 * that refuses says why. Free of I/O and of clocks; times are nanoseconds since 1970.
 */
public final class Terms {
    /** A request as far as a token speaks of it. */
    public record Wanted(String tenant, String plan, String title, long now) { }

    private record Case(Token token, Wanted wanted) { }

    private record Rule(Refusal refusal, Predicate<Case> refuses) { }

    private final List<Rule> rules;
    private final long skew;
    private final long grace;

    /**
     * @param skew how far the issuer's clock may be off, either way
     * @param grace how long one plays on past its token's end: what a renewal on its way needs
     */
    public Terms(long skew, long grace) {
        this.skew = skew;
        this.grace = grace;
        rules = List.of(
            new Rule(Refusal.TENANT, c -> !c.token.tenant().equals(c.wanted.tenant)),
            new Rule(Refusal.EARLY, c -> c.wanted.now < c.token.from() - skew),
            new Rule(Refusal.EXPIRED, c -> c.wanted.now - skew > c.token.until()),
            new Rule(Refusal.PLAN, c -> !c.token.plans().isEmpty() && !c.token.plans().contains(c.wanted.plan)),
            new Rule(Refusal.TITLE, c -> !c.token.titles().isEmpty()
                && c.token.titles().stream().noneMatch(t -> covers(t, c.wanted.title))));
    }

    private static boolean covers(String pattern, String title) {
        return pattern.endsWith("*") ? title.startsWith(pattern.substring(0, pattern.length() - 1))
            : pattern.equals(title);
    }

    /** Why the token does not entitle to what is wanted, or null if it does. */
    public Refusal refuses(Token token, Wanted wanted) {
        Case both = new Case(token, wanted);
        return rules.stream().filter(r -> r.refuses.test(both)).map(Rule::refusal).findFirst().orElse(null);
    }

    /**
     * Why a token does not renew a playback that began by another, or null if it does. It must be good now for the same
     * thing and bear the same name; one that ends sooner than the old is taken too, as it may be a withdrawal.
     *
     * @param id the name of the token that the playback holds
     */
    public Refusal refusesRenewal(String id, Token token, Wanted wanted) {
        return !token.id().equals(id) ? Refusal.OTHER : refuses(token, wanted);
    }

    /** When a playback by that token ends unless it is renewed: its end, the skew and the grace. */
    public long endsAt(Token token) {
        long most = Long.MAX_VALUE - skew - grace;
        return token.until() >= most ? Long.MAX_VALUE : token.until() + skew + grace;
    }
}
