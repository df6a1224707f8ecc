package cypressvalve.load.source;

import java.util.Map;

/**
 * One request as a source tells of it. A text that the source does not have is empty, a number is -1.
 *
 * @param server number of the server program whose clock wrote the time
 * @param file number of the file, from 0
 * @param line its line there, from 1; in a HAR file its entry
 * @param at when the request came, nanoseconds since 1970 by that clock
 * @param coarse whether the time is known to the second only
 * @param client the viewer's address, or the page of a HAR file
 * @param uri path and query as asked for, without scheme and host
 * @param took nanoseconds from request to answer
 * @param cmcd the value of CMCD-Session or of all CMCD fields joined (CTA-5004)
 * @param more named cookies ("cookie:NAME") and fields ("field:NAME") that the source has
 */
public record Hit(int server, int file, long line, long at, boolean coarse, String client, String agent,
    String method, String uri, int status, long bytes, long took, String cmcd, Map<String, String> more) { }
