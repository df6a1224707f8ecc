package cypressvalve.host.answer;

import java.util.List;

/** The form of a description apart from its values: equal for what one kind of media host answers. */
record DescriptionShape(List<String> kinds, boolean endsLine) {
    /** Whether it is what is left of that one where lines are cut off at its end. */
    boolean isCutOf(DescriptionShape longer) {
        return kinds.size() < longer.kinds.size() && longer.kinds.subList(0, kinds.size()).equals(kinds);
    }

    /** Whether its last line is of the kind of that one's. */
    boolean endsLike(DescriptionShape other) {
        return kinds.get(kinds.size() - 1).equals(other.kinds.get(other.kinds.size() - 1));
    }
}
