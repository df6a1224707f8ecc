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

    public void heldBy(int first, int copies) {
        if (first != this.first || copies != this.copies) {
            this.first = first;
            this.copies = copies;
            listed = 0;
        }
    }
}
