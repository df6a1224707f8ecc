package cypressvalve.front.signal;

import cypressvalve.model.Title;
import cypressvalve.session.Ask;
import cypressvalve.session.House;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/** Titles as viewers name them, each with the cells that hold it; one that nothing is held of is forgotten in time. */
public final class Titles implements House {
    /** Titles kept; more than a fleet holds, so that what is forgotten is not asked for any more. */
    private static final int MOST = 2000;

    private final double[] shares;
    private final Map<String, Title> titles = new LinkedHashMap<>(64, 0.75f, true);

    /** @param shares each tenant's, by its number in the settings */
    public Titles(double[] shares) {
        this.shares = shares;
    }

    @Override
    public double[] shares() {
        return shares;
    }

    @Override
    public Title title(Ask ask) {
        Title title = titles.computeIfAbsent(ask.title(), Title::new);
        title.heldBy(ask.offer().first(), ask.offer().copies());
        if (titles.size() > MOST) {
            forget();
        }
        return title;
    }

    private void forget() {
        Iterator<Title> oldest = titles.values().iterator();
        for (int left = titles.size() - MOST; left > 0 && oldest.hasNext(); left--) {
            if (oldest.next().carried.values().stream().allMatch(n -> n == 0)) {
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
