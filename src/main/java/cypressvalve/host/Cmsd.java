package cypressvalve.host;

import io.undertow.util.HttpString;
import org.greenbytes.http.sfv.Item;
import org.greenbytes.http.sfv.ListElement;
import org.greenbytes.http.sfv.NumberItem;
import org.greenbytes.http.sfv.OuterList;
import org.greenbytes.http.sfv.ParseException;
import org.greenbytes.http.sfv.Parser;

/**
 * A media host's load in a CMSD-Dynamic field (CTA-5006): a structured list (RFC 8941) of servers, each with
 * parameters, of which the custom keys com.cypressvalve-link and com.cypressvalve-uplink are ours.
 */
public final class Cmsd {
    /** The field's name. */
    public static final HttpString HEADER = new HttpString("CMSD-Dynamic");
    private static final String LINK = "com.cypressvalve-link";
    private static final String UPLINK = "com.cypressvalve-uplink";

    private Cmsd() {
    }

    /** The report in a field's value; one that can't be read tells nothing. */
    public static LoadReport report(String value) {
        try {
            OuterList list = new Parser(value).parseList();
            for (ListElement<?> server : list.get()) {
                double link = number(server.getParams().get(LINK));
                double uplink = number(server.getParams().get(UPLINK));
                if (!Double.isNaN(link) || !Double.isNaN(uplink)) {
                    return new LoadReport(link, uplink);
                }
            }
        } catch (ParseException e) {
            return LoadReport.NONE;
        }
        return LoadReport.NONE;
    }

    private static double number(Item<?> item) {
        if (item instanceof NumberItem<?> n) {
            double value = n.getAsLong() / (double) n.getDivisor();
            return value >= 0 ? value : Double.NaN;
        }
        return Double.NaN;
    }
}
