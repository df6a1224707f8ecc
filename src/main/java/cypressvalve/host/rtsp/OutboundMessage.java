package cypressvalve.host.rtsp;

/**
 * Something for a session at its host that wants no answer.
 *
 * @param ends whether it ends the session: a host that never reads it would hold the session on
 */
record OutboundMessage(String session, byte[] bytes, boolean ends) { }
