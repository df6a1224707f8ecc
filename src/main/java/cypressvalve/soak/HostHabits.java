package cypressvalve.soak;

/**
 * How a media host's process treats the connections that its system has taken.
 *
 * @param latePercent hundredths of them that it takes up to 1 s late
 * @param resetPercent hundredths of them that it resets while they are new, never two in a row
 * @param countsFailedRepeats whether a release that it says on the next connection counts as said there though that had been reset
 */
record HostHabits(int latePercent, int resetPercent, boolean countsFailedRepeats) {
    static final HostHabits USUAL = new HostHabits(0, 0, false);
}
