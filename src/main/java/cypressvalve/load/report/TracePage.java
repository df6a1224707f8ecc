package cypressvalve.load.report;

import cypressvalve.load.Facts;
import cypressvalve.load.trace.wire.Header;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.HistogramIterationValue;

/** A trace drawn: requests a second, titles by rank, lengths, with the gaps of its source. */
public final class TracePage {
    private static final double SECOND = 1e9;

    private TracePage() {
    }

    /** Writes the page. */
    public static void write(Path to, String name, Header header, Facts facts) throws IOException {
        Page page = new Page("Trace " + name).pre(facts.table(20));
        TreeMap<Long, Integer> seconds = facts.seconds();
        double begins = header.getBegins() / SECOND;
        List<Plots.Span> gaps = new ArrayList<>();
        header.getGapsList().forEach(g -> gaps.add(new Plots.Span(g.getKind(), g.getFrom() / SECOND - begins,
            Math.max(g.getTo(), g.getFrom()) / SECOND - begins)));
        if (!seconds.isEmpty()) {
            page.raw(Plots.img("Requests to watch", "seconds", "a second", List.of(perSecond("requests", seconds,
                begins)), gaps, false));
        }
        List<Map.Entry<String, Long>> ranks = facts.ranks();
        double[] rank = new double[ranks.size()];
        double[] wanted = new double[ranks.size()];
        for (int i = 0; i < rank.length; i++) {
            rank[i] = i + 1;
            wanted[i] = ranks.get(i).getValue();
        }
        page.raw(Plots.img("Titles by rank", "rank", "playbacks", List.of(new Plots.Line("titles", rank, wanted)),
            List.of(), true));
        List<double[]> lengths = new ArrayList<>();
        for (HistogramIterationValue v : facts.lengths().percentiles(5)) {
            lengths.add(new double[] {v.getPercentile(), v.getValueIteratedTo()});
        }
        page.raw(Plots.img("Lengths", "percent of playbacks", "seconds", List.of(new Plots.Line("length",
            lengths.stream().mapToDouble(l -> l[0]).toArray(), lengths.stream().mapToDouble(l -> l[1]).toArray())),
            List.of(), false));
        page.write(to);
    }

    /** Counts by second as a line, seconds without any included; long spans are drawn as means of many seconds. */
    static Plots.Line perSecond(String name, TreeMap<Long, Integer> seconds, double begins) {
        long from = seconds.firstKey();
        long span = seconds.lastKey() - from + 1;
        int points = (int) Math.min(span, 1800);
        double[] x = new double[points];
        double[] y = new double[points];
        double width = span / (double) points;
        for (Map.Entry<Long, Integer> second : seconds.entrySet()) {
            int i = (int) Math.min(points - 1, (second.getKey() - from) / width);
            y[i] += second.getValue() / width;
        }
        for (int i = 0; i < points; i++) {
            x[i] = from + i * width - begins;
        }
        return new Plots.Line(name, x, y);
    }
}
