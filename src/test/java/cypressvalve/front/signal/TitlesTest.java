package cypressvalve.front.signal;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotSame;
import static org.junit.jupiter.api.Assertions.assertSame;

import cypressvalve.model.Plan;
import cypressvalve.model.Title;
import cypressvalve.session.Ask;
import org.junit.jupiter.api.Test;

/** Where titles lie, as viewers say. */
class TitlesTest {
    private final Titles titles = new Titles(new double[] {1});

    private Title title(int first, int copies) {
        return titles.title(new Ask("", "t", "a", "", 1, 0, 0, null, new Ask.Offer("1", null, first, copies)));
    }

    /** A playback that waits must not be sent where another viewer's word would have it. */
    @Test
    void oneViewersWordDoesNotMoveATitleForOthers() {
        Title mine = title(1, 2);
        Title other = title(5, 1);
        assertNotSame(mine, other);
        assertEquals(1, mine.first);
        assertEquals(2, mine.copies);
        assertSame(mine, title(1, 2));
    }

    @Test
    void seatsOfATitleAreCountedTogetherWhereverItLies() {
        Plan plan = new Plan();
        title(1, 2).carried.merge(plan, 1, Integer::sum);
        assertEquals(1, title(5, 1).carried.get(plan));
    }

    @Test
    void placesThatAreMadeUpAreForgotten() {
        Title first = title(0, 1);
        for (int i = 1; i < 100; i++) {
            title(i, 1);
        }
        Title again = title(0, 1);
        assertNotSame(first, again);
        assertSame(first.carried, again.carried, "its seats are not");
    }
}
