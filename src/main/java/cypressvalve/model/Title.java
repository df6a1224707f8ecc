package cypressvalve.model;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** What viewers watch, and the cells whose media hosts hold it: copies in a row from first. */
public final class Title {
    public final String key;
    public int first;
    public int copies;
    /** Its active holders, home first, and the number of the list that they were taken from. */
    public List<MediaHost> holders = List.of();
    public int listed;

    /** How many of this gateway's tries are out or play, and how many play, by plan. */
    public final Map<Plan, Integer> carried;
    public final Map<Plan, Integer> playing;

    public Title(String key) {
        this.key = key;
        carried = new HashMap<>();
        playing = new HashMap<>();
    }

    /** The same title as one told to lie elsewhere: its seats are counted together. */
    public Title(Title other) {
        key = other.key;
        carried = other.carried;
        playing = other.playing;
    }

    /** Whether that cell, of so many, holds it. */
    public boolean isHeldIn(int cell, int cells) {
        return Math.floorMod(cell - first, cells) < copies;
    }

    /** A number that title and id together always lead to: it orders ids differently for each title. */
    public long hash(long id) {
        long h = (key.hashCode() + id * 0x9E3779B97F4A7C15L) * 0xBF58476D1CE4E5B9L;
        return (h ^ h >>> 31) * 0x94D049BB133111EBL;
    }

    /** So many more of a plan are out or play; below 0 so many fewer. */
    public void taken(Plan plan, int more) {
        carried.merge(plan, more, Integer::sum);
    }

    public void heldBy(int first, int copies) {
        if (first != this.first || copies != this.copies) {
            this.first = first;
            this.copies = copies;
            listed = 0;
        }
    }
}
