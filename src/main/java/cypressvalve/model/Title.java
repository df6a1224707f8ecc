package cypressvalve.model;

/** What viewers watch, and the cells whose media hosts hold it: copies in a row from first. */
public final class Title {
    public final String key;
    public int first;
    public int copies;

    public Title(String key) {
        this.key = key;
    }
}
