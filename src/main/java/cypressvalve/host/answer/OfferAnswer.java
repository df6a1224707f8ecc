package cypressvalve.host.answer;

import java.util.List;
import java.util.Optional;

/** Compares a media host's description with the one that it was offered, by RFC 3264 and RFC 8866. */
final class OfferAnswer {
    /** Lines that an answer has where its offer has them. */
    private static final char[] MIRRORED = {'v', 'o', 's', 't'};

    /** How an answer stands to its offer. */
    enum Kind {
        /** Nothing about its form is in doubt. */
        CONFORMS,
        /** It would conform if its last line were ended, as the offer's is. */
        UNENDED,
        /** Every line is one of a description, but lines or streams are left out: of a fleet whose answers say less, or cut. */
        PARTIAL,
        /** It is text, but nothing in it has the form of the offer: it may be of a fleet with a form of its own. */
        OTHER_FORM,
        /** It is no description, or one of the offer's form that was altered or cut. */
        MALFORMED
    }

    /**
     * The result of a comparison.
     *
     * @param why what is wrong; empty where it conforms
     * @param answer the answer read as text; empty where it is none
     */
    record Result(Kind kind, String why, Optional<Description> answer) { }

    private OfferAnswer() {
    }

    static Result compare(byte[] offered, byte[] answered) {
        if (answered.length == 0 && offered.length > 0) {
            return new Result(Kind.MALFORMED, "no description", Optional.empty());
        }
        Optional<Description> offer = Description.of(offered);
        Optional<Description> answer = Description.of(answered);
        if (offer.isEmpty()) {
            return new Result(Kind.CONFORMS, "", answer); // The offer is no text, either: nothing can be told.
        }
        if (answer.isEmpty()) {
            return new Result(Kind.MALFORMED, "a description that is no text", answer);
        }
        return compare(offer.get(), answer.get(), answer);
    }

    private static Result compare(Description offer, Description answer, Optional<Description> read) {
        String altered = alteration(offer, answer);
        if (!altered.isEmpty()) {
            return new Result(hasLineOf(offer, answer) ? Kind.MALFORMED : Kind.OTHER_FORM, altered, read);
        }
        String missing = offer.describesMedia() ? omission(offer, answer) : "";
        if (!missing.isEmpty()) {
            return new Result(hasLineOf(offer, answer) ? Kind.PARTIAL : Kind.OTHER_FORM, missing, read);
        }
        boolean unended = offer.endsLine() && !answer.endsLine();
        return unended ? new Result(Kind.UNENDED, "a description that ends within a line", read) : new Result(Kind.CONFORMS, "", read);
    }

    /** Whether one of its lines has the form of one of the offer's, so that what else differs was altered or cut. */
    private static boolean hasLineOf(Description offer, Description answer) {
        boolean asFirst = offer.lines().get(0).hexadecimal() && answer.lines().get(0).hexadecimal();
        return offer.describesMedia() && (asFirst || answer.lines().stream().anyMatch(line -> line.wellFormed() && offer.has(line.type())));
    }

    /** What stands in the answer that no answer to this offer has; empty if nothing does. */
    private static String alteration(Description offer, Description answer) {
        if (answer.hasBlankLine() && !offer.hasBlankLine()) {
            return "a blank line";
        }
        if (!offer.describesMedia()) {
            return "";
        }
        for (int i = 0; i < answer.lines().size(); i++) {
            DescriptionLine line = answer.lines().get(i);
            if (line.typed() ? !line.wellFormed() : i > 0 || !standsFor(line, offer.lines().get(0))) {
                return "line " + (i + 1) + " is none of a description";
            }
        }
        return answersInOrder(offer.media(), answer.media()) ? "" : "other streams than were offered";
    }

    /** What an answer to this offer has and that one has not; empty if it has all. */
    private static String omission(Description offer, Description answer) {
        for (char type : MIRRORED) {
            if (offer.has(type) && !answer.has(type)) {
                return "no line " + type + "=";
            }
        }
        if (offer.has('c') && !answer.hasAddresses()) {
            return "no address";
        }
        return offer.media().size() == answer.media().size() ? "" : "fewer streams than were offered";
    }

    /** The protocol's descriptions begin with a line of digits, which RFC 8866 does not know. */
    private static boolean standsFor(DescriptionLine answered, DescriptionLine offered) {
        return !offered.typed() && (answered.hexadecimal() || !offered.hexadecimal());
    }

    /** Whether its streams answer the first ones that were offered; there may be fewer. */
    private static boolean answersInOrder(List<MediaLine> offered, List<MediaLine> answered) {
        if (answered.size() > offered.size()) {
            return false;
        }
        for (int i = 0; i < answered.size(); i++) {
            if (!answered.get(i).answers(offered.get(i))) {
                return false;
            }
        }
        return true;
    }
}
