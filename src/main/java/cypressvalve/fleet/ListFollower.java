package cypressvalve.fleet;

/** Asks for the list where Control wants it; sources that push do nothing. */
public interface ListFollower {
    void follow(boolean on);

    void fetch();
}
