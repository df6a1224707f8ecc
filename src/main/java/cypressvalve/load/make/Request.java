package cypressvalve.load.make;

/**
 * One request as it truly was, before any server wrote it down.
 *
 * @param at when it came, nanoseconds since 1970
 * @param took nanoseconds to its answer
 * @param segment number, -1 for a request to watch
 */
record Request(long at, long took, int viewer, String address, String agent, String sid, String title, String plan,
    String tenant, int rung, long segment, int status, long bytes) {

    /** When its server writes its line. */
    long logged() {
        return at + took;
    }
}
