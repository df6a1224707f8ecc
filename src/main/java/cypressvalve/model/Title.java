package cypressvalve.model;

import java.util.List;

/** What viewers watch, and the cells whose media hosts hold it: copies in a row from first. */
public final class Title {
    public final String key;
    public int first;
    public int copies;
    /** Its active holders, home first, and the number of the list that they were taken from. */
    public List<MediaHost> holders = List.of();
    public int listed;

    public Title(String key) {
        this.key = key;
    }

    public void heldBy(int first, int copies) {
        if (first != this.first || copies != this.copies) {
            this.first = first;
            this.copies = copies;
            listed = 0;
        }
    }
}
