package cypressvalve.soak;

/**
 * How a media host's process treats the connections that its system has taken.
 *
 * @param latePercent hundredths of them that it takes up to 1 s late
 * @param resetPercent hundredths of them that it resets while they are new, never two in a row
 */
record HostHabits(int latePercent, int resetPercent) {
    static final HostHabits USUAL = new HostHabits(0, 0);
}
