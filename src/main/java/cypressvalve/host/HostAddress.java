package cypressvalve.host;

/** Where a media host listens, and the id that the list gives it. */
public record HostAddress(long id, String host, int port) {
    /** The start of its URIs, without a path. */
    public String base() {
        return "http://" + host + ":" + port;
    }
}
