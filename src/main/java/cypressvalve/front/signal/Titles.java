package cypressvalve.front.signal;

import cypressvalve.model.Title;
import cypressvalve.session.Ask;
import cypressvalve.session.House;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Titles as viewers name them, each with the cells that hold it; one that nothing is held of is forgotten in time. */
public final class Titles implements House {
    /** Titles kept; more than a fleet holds, so that what is forgotten is not asked for any more. */
    private static final int MOST = 2000;

    private final double[] shares;
    /** Where one title was said to lie; more is made up by somebody. */
    private static final int MOST_PLACES = 8;

    /** By name, and of each name the places told, the last one first. */
    private final Map<String, List<Title>> titles = new LinkedHashMap<>(64, 0.75f, true);

    /** @param shares each tenant's, by its number in the settings */
    public Titles(double[] shares) {
        this.shares = shares;
    }

    @Override
    public double[] shares() {
        return shares;
    }

    /** Guards against one viewer's word on where a title lies that another's playback of it would follow. */
    @Override
    public Title title(Ask ask) {
        int first = ask.offer().first();
        int copies = ask.offer().copies();
        List<Title> places = titles.computeIfAbsent(ask.title(), key -> new ArrayList<>(1));
        Title title = places.stream().filter(t -> t.first == first && t.copies == copies).findFirst().orElse(null);
        if (title == null) {
            title = places.isEmpty() ? new Title(ask.title()) : new Title(places.get(0));
            title.heldBy(first, copies);
            places.add(0, title);
            if (places.size() > MOST_PLACES) {
                places.remove(MOST_PLACES);
            }
        }
        if (titles.size() > MOST) {
            forget();
        }
        return title;
    }

    private void forget() {
        Iterator<List<Title>> oldest = titles.values().iterator();
        for (int left = titles.size() - MOST; left > 0 && oldest.hasNext(); left--) {
            if (oldest.next().get(0).carried.values().stream().allMatch(n -> n == 0)) {
                oldest.remove();
            }
        }
    }

    @Override
    public long silence() {
        return Long.MAX_VALUE;
    }

    @Override
    public boolean drainEnds() {
        return false;
    }
}
