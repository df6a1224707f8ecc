package cypressvalve.host.answer;

import java.util.HashSet;
import java.util.Set;
import java.util.regex.Pattern;

/**
 * A form in which media hosts answer that is not the standards', as far as answers have shown it. Words that stand at the same place in
 * all of them tell a form from answers that were altered, each in another way. Free of I/O.
 */
final class OwnForm {
    /** So many answers in a row show a form by the words that recur in it. */
    private static final int SHOWN_WITH_WORDS = 3;
    /** So many show a form in which no word recurs, or one that is the offer's but for what it leaves out. */
    private static final int SHOWN_WITHOUT_WORDS = 8;
    private static final Pattern WORD = Pattern.compile("[A-Za-z]{2,}");

    /** A word of a description and where it stands. */
    private record Word(int line, int place, String text) { }

    private final DescriptionShape shape;
    private final OfferAnswer.Kind kind;
    private Set<Word> recurring;
    private int seen;

    /** @param kind how its answers stand to their offers */
    OwnForm(DescriptionShape shape, OfferAnswer.Kind kind) {
        this.shape = shape;
        this.kind = kind;
    }

    DescriptionShape shape() {
        return shape;
    }

    /** One more answer of that shape came, behind the ones before. */
    void seen(Description answer) {
        seen++;
        if (recurring == null) {
            recurring = words(answer);
        } else {
            recurring.retainAll(words(answer));
        }
    }

    /** Whether the answers so far show that media hosts answer so. */
    boolean shown() {
        boolean byWords = kind != OfferAnswer.Kind.PARTIAL && !recurring.isEmpty();
        return seen >= (byWords ? SHOWN_WITH_WORDS : SHOWN_WITHOUT_WORDS);
    }

    /** Whether an answer of that shape has words of the form, where it has any; the ones that it has are the form's from then on. */
    boolean admits(Description answer) {
        Set<Word> common = words(answer);
        common.retainAll(recurring);
        if (kind != OfferAnswer.Kind.OTHER_FORM || recurring.isEmpty()) {
            return true;
        }
        recurring = common.isEmpty() ? recurring : common;
        return !common.isEmpty();
    }

    private Set<Word> words(Description answer) {
        boolean restConforms = kind == OfferAnswer.Kind.UNENDED; // Then the last word alone shows what was cut off behind it.
        int last = answer.lines().size() - 1;
        Set<Word> words = new HashSet<>();
        for (int line = restConforms ? last : 0; line <= last; line++) {
            String[] parts = answer.lines().get(line).value().split(" ", -1);
            for (int place = restConforms ? parts.length - 1 : 0; place < parts.length; place++) {
                if (restConforms || WORD.matcher(parts[place]).matches()) {
                    words.add(new Word(line, place, parts[place]));
                }
            }
        }
        return words;
    }
}
