package cypressvalve.soak;

/** How emulated clients and media hosts word descriptions: as the protocol's page shows them, or otherwise. */
public enum DescriptionForm {
    /** A line of hexadecimal digits, the address and one stream, each line ended, as on the page. */
    PAGE("%1$016x\r\nc=IN IP4 %2$s\r\nm=audio %3$d RTP/AVP %4$s\r\n"),
    /** The same without an end of its last line. */
    UNENDED("%1$016x\r\nc=IN IP4 %2$s\r\nm=audio %3$d RTP/AVP %4$s"),
    /** The same with line feeds alone. */
    LINE_FEEDS("%1$016x\nc=IN IP4 %2$s\nm=audio %3$d RTP/AVP %4$s\n"),
    /** A session description as RFC 8866 has it, with attributes behind its stream. */
    STANDARD("v=0\r\no=- %3$d 1 IN IP4 %2$s\r\ns=-\r\nc=IN IP4 %2$s\r\nt=0 0\r\nm=audio %3$d RTP/AVP %4$s\r\n"
        + "a=rtpmap:101 telephone-event/8000\r\na=sendrecv\r\n"),
    /** Its address stands behind the stream that it belongs to. */
    ADDRESS_BEHIND_STREAM("%1$016x\r\nm=audio %3$d RTP/AVP %4$s\r\nc=IN IP4 %2$s\r\n"),
    /** No description in the sense of RFC 3264: one line of words. */
    WORDS("session %1$016x at %2$s:%3$d\r\n");

    private final String format;

    DescriptionForm(String format) {
        this.format = format;
    }

    /** What a client offers. */
    public String offer(String session) {
        return description(session.hashCode(), "0 8 101");
    }

    /** What a media host answers: of no other host or session. */
    public String answer(String host, String session) {
        return description((host + " " + session).hashCode(), "0 101");
    }

    private String description(int number, String formats) {
        String address = "10." + (number >> 16 & 255) + "." + (number >> 8 & 255) + "." + (number & 255);
        return String.format(format, number * 0x9e3779b97f4a7c15L, address, 1_024 + (number & 0x7fff), formats);
    }
}
