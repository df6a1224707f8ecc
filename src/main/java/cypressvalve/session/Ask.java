package cypressvalve.session;

import cypressvalve.entitlement.Door;
import java.net.URLDecoder;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;

/**
 * A viewer's wish to watch, as every front hands it to the core. Title and plan are known to the service.
 *
 * @param viewer what stays the same when the viewer asks again while the first request is open; empty if unknown
 * @param ceiling the highest rung that its screen can use
 * @param hint a guess of how long it watches, in nanoseconds, 0 for none
 * @param patience how long it waits for the answer, in nanoseconds
 * @param grant what entitles it, null where none is needed
 * @param offer what came with it for the media host, null where the core makes its own
 */
public record Ask(String viewer, String title, String plan, String tenant, int ceiling, long hint, long patience,
    Door.Grant grant, Offer offer) {
    /**
     * What some protocols' viewers bring: it goes to the media host as it came.
     *
     * @param id the viewer's own id of the playback; none is used twice
     * @param description what the media host is to read; null where it has read that
     * @param first the first cell that holds the title, of copies in a row
     */
    public record Offer(String id, byte[] description, int first, int copies) { }

    /** An ask that needs no token. */
    public Ask(String viewer, String title, String plan, String tenant, int ceiling, long hint, long patience) {
        this(viewer, title, plan, tenant, ceiling, hint, patience, null, null);
    }

    /** The same, entitled by a token. */
    public Ask with(Door.Grant by) {
        return new Ask(viewer, title, plan, tenant, ceiling, hint, patience, by, offer);
    }

    /** The same, without what the media host is to read. */
    Ask withoutDescription() {
        return offer == null ? this
            : new Ask(viewer, title, plan, tenant, ceiling, hint, patience, grant, new Offer(offer.id, null, offer.first, offer.copies));
    }

    /** What a media host keeps of it, for a gateway that takes the session up anew. */
    String about() {
        return ceiling + " " + hint + " " + URLEncoder.encode(tenant, StandardCharsets.UTF_8) + " "
            + (grant == null ? "" : URLEncoder.encode(grant.token(), StandardCharsets.UTF_8) + " " + grant.atOnce() + " "
            + grant.endsAt() + " ") + URLEncoder.encode(viewer, StandardCharsets.UTF_8);
    }

    /** The ask behind what a host kept; null if that was not written by {@link #about()}. */
    static Ask from(String about, String title, String plan) {
        String[] parts = about.split(" ", -1);
        boolean granted = parts.length == 7 && parts[4].matches("[0-9]{1,7}") && parts[5].matches("[0-9]{1,19}");
        if (parts.length != 4 && !granted || !parts[0].matches("[0-9]{1,4}") || !parts[1].matches("[0-9]{1,18}")) {
            return null;
        }
        try {
            return new Ask(URLDecoder.decode(parts[parts.length - 1], StandardCharsets.UTF_8), title, plan,
                URLDecoder.decode(parts[2], StandardCharsets.UTF_8), Integer.parseInt(parts[0]),
                Long.parseLong(parts[1]), 0, granted ? new Door.Grant(URLDecoder.decode(parts[3], StandardCharsets.UTF_8),
                    Integer.parseInt(parts[4]), Long.parseLong(parts[5])) : null, null);
        } catch (IllegalArgumentException e) {
            return null;
        }
    }

    /**
     * Asks with the same key are one playback; null where the viewer can't be known again. Who brings another token is
     * another viewer, whatever session id it says.
     */
    String key() {
        return viewer.isEmpty() ? null : viewer + '\n' + tenant + '\n' + plan + '\n' + title
            + (grant == null ? "" : '\n' + grant.token());
    }
}
