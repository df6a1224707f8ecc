package cypressvalve.trouble;

/** What troubles can strike: a stage of sockets, or a laboratory. Parts are what is left, 1 for all of it. */
public interface Struck {
    int hosts();

    int racks();

    /** A host's process dies with all that it carries; the list hears of it late. */
    void crash(int host);

    /** A host that is down starts anew, cold; the list hears of it late. One that fell over stays down. */
    void restart(int host);

    void hang(int host, boolean on);

    /** Share of set-ups that fail at once. */
    void errors(int host, double share);

    /** Set-ups run, but their answers are lost. */
    void answersLost(int host, boolean on);

    /** Notes come later by so many nanoseconds than they did; less where below 0. */
    void notesLater(int host, long by);

    void link(int host, double part);

    void uplink(int rack, double part);

    /** The list says that the host is to get nothing new. */
    void drain(int host);

    /** Changes of the list are published so many nanoseconds later than usual. */
    void listStale(long by);

    /** The list names no host at all, or all again. */
    void listEmpty(boolean on);

    /** A gateway is killed, or started anew. */
    void gateway(int number, boolean up);
}
