package cypressvalve.host.answer;

import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Decides whether a media host's answer may be passed on. What conforms to its offer may. Media hosts may have a form of their own,
 * which the protocol leaves free: another form is accepted once {@link OwnForm} has shown it and no answer ever conformed. What has a line
 * of the offer's form and differs otherwise was altered, however many come so. Where content does not show that an answer is whole, what follows it on its connection must.
 */
public final class AnswerJudge {
    private static final int MAX_SHAPES = 64;

    /** What has shown where an answer ends. */
    public enum Proof {
        NONE,
        /** Its connection was ended in order right behind it, by the media host of its own accord. */
        CLOSED_BEHIND,
        /** A whole message came right behind it, or the media host ended the connection as it was asked to. */
        FOLLOWED
    }

    /** What is to be done with an answer. */
    public enum Decision {
        ACCEPT,
        /** What follows it on its connection must show where it ends. */
        AWAIT_PROOF,
        REJECT
    }

    /**
     * A decision and its reason.
     *
     * @param why in words; empty for an accepted answer
     */
    public record Judgement(Decision decision, String why) {
        private static final Judgement ACCEPTED = new Judgement(Decision.ACCEPT, "");
    }

    private final Set<DescriptionShape> accepted = new LinkedHashSet<>();
    private boolean seenConforming;
    /** Forms of the media hosts' own that were accepted, by their shapes. */
    private final Map<DescriptionShape, OwnForm> ownForms = new HashMap<>();
    private OwnForm candidate;

    /**
     * Judges an answer.
     *
     * @param offered the description of the set-up
     * @param answered the description of the answer
     * @param proof what has shown where the answer ends
     */
    public Judgement judge(byte[] offered, byte[] answered, Proof proof) {
        OfferAnswer.Result result = OfferAnswer.compare(offered, answered);
        boolean conforms = result.kind() == OfferAnswer.Kind.CONFORMS;
        boolean mayBeOwnForm = result.kind() != OfferAnswer.Kind.MALFORMED && !seenConforming;
        if (!conforms && !mayBeOwnForm) {
            return new Judgement(Decision.REJECT, result.why());
        }
        Optional<Description> offer = Description.of(offered);
        if (proof != Proof.FOLLOWED && !showsItsEnd(offer, result)) {
            if (proof == Proof.NONE) {
                return new Judgement(Decision.AWAIT_PROOF, "nothing shows yet that it is whole");
            }
            if (!conforms || !endsLine(result)) {
                return new Judgement(Decision.REJECT, "closed behind an answer that nothing shows to be whole");
            }
        }
        return conforms ? conforming(offer, result) : ownForm(result);
    }

    private static boolean endsLine(OfferAnswer.Result result) {
        return result.answer().map(Description::endsLine).orElse(false);
    }

    /** Whether its content alone shows that nothing is left out at its end. */
    private boolean showsItsEnd(Optional<Description> offer, OfferAnswer.Result result) {
        if (offer.isEmpty() || !endsLine(result)) {
            return false;
        }
        DescriptionShape shape = result.answer().get().shape();
        if (!offer.get().describesMedia()) {
            return !shape.isCutOf(offer.get().shape());
        }
        boolean endsAsOffered = result.kind() == OfferAnswer.Kind.CONFORMS && shape.endsLike(offer.get().shape());
        return (endsAsOffered || accepted.contains(shape)) && accepted.stream().noneMatch(shape::isCutOf);
    }

    private Judgement conforming(Optional<Description> offer, OfferAnswer.Result result) {
        if (offer.isPresent() && offer.get().describesMedia()) {
            if (!seenConforming) {
                seenConforming = true;
                accepted.clear();
                ownForms.clear();
            }
            remember(result.answer().get().shape());
        }
        return Judgement.ACCEPTED;
    }

    private Judgement ownForm(OfferAnswer.Result result) {
        Description answer = result.answer().get();
        DescriptionShape shape = answer.shape();
        OwnForm known = ownForms.get(shape);
        if (known != null && accepted.contains(shape)) {
            candidate = null;
            return known.admits(answer) ? Judgement.ACCEPTED : new Judgement(Decision.REJECT, result.why());
        }
        if (candidate == null || !candidate.shape().equals(shape)) {
            candidate = new OwnForm(shape, result.kind());
        }
        candidate.seen(answer);
        if (!candidate.shown() || accepted.stream().anyMatch(shape::isCutOf)) {
            return new Judgement(Decision.REJECT, result.why());
        }
        remember(shape);
        ownForms.put(shape, candidate);
        return Judgement.ACCEPTED;
    }

    private void remember(DescriptionShape shape) {
        accepted.add(shape);
        if (accepted.size() > MAX_SHAPES) {
            DescriptionShape oldest = accepted.iterator().next();
            accepted.remove(oldest);
            ownForms.remove(oldest);
        }
    }
}
