package cypressvalve.host;

/**
 * A session that a media host carries for a gateway, as the host tells of it.
 *
 * @param name the try's name at the host
 * @param about what the gateway said of it at its set-up
 */
public record Carried(String name, String title, String plan, int rung, String about) { }
