package cypressvalve.soak;

/**
 * How a media host's process treats the connections that its system has taken.
 *
 * @param latePercent hundredths of them that it takes up to 1 s late
 * @param resetPercent hundredths of them that it resets while they are new, never two in a row
 * @param countsFailedRepeats whether a release that it says on the next connection counts as said there though that had been reset
 * @param networkResets what the network does to those that are open
 */
record HostHabits(int latePercent, int resetPercent, boolean countsFailedRepeats, NetworkResets networkResets) {
    static final HostHabits USUAL = new HostHabits(0, 0, false, NetworkResets.NONE);

    /**
     * Resets of open connections by the network; the process and its sessions live on.
     *
     * @param meanMillis the mean time from one to the next at a host; 0 for none
     * @param ofAll whether each strikes all connections of the host at once, else one of them
     */
    record NetworkResets(int meanMillis, boolean ofAll) {
        static final NetworkResets NONE = new NetworkResets(0, false);
    }

    /** The words from which {@link #parse} makes the same. */
    String[] arguments() {
        return new String[] {String.valueOf(latePercent), String.valueOf(resetPercent), String.valueOf(countsFailedRepeats),
            String.valueOf(networkResets.meanMillis()), String.valueOf(networkResets.ofAll())};
    }

    /** @param words of a command line, in which the habits' begin at that place */
    static HostHabits parse(String[] words, int first) {
        return new HostHabits(Integer.parseInt(words[first]), Integer.parseInt(words[first + 1]), Boolean.parseBoolean(words[first + 2]),
            new NetworkResets(Integer.parseInt(words[first + 3]), Boolean.parseBoolean(words[first + 4])));
    }
}
