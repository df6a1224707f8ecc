package cypressvalve.load.report;

import java.awt.Color;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.Base64;
import java.util.List;
import java.util.Map;
import org.knowm.xchart.BitmapEncoder;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;
import org.knowm.xchart.XYSeries;
import org.knowm.xchart.style.Styler;
import org.knowm.xchart.style.markers.SeriesMarkers;

/** Plots as pictures inside a page, so that a report is one file that needs no network. */
final class Plots {
    private static final int WIDTH = 900;
    private static final int HEIGHT = 300;
    private static final Color GRID = new Color(225, 225, 225);

    /** A named line: its points' places and values. */
    record Line(String name, double[] x, double[] y) { }

    /** A span laid over a plot, in the plot's own x. */
    record Span(String name, double from, double to) { }

    private Plots() {
    }

    /** A plot as an HTML img element. */
    static String img(String title, String xName, String yName, List<Line> lines, List<Span> spans, boolean logarithmic)
        throws IOException {
        // A headless machine draws too.
        System.setProperty("java.awt.headless", "true");
        XYChart chart = new XYChartBuilder().width(WIDTH).height(HEIGHT).title(title).xAxisTitle(xName)
            .yAxisTitle(yName).build();
        chart.getStyler().setLegendPosition(Styler.LegendPosition.OutsideE);
        chart.getStyler().setChartBackgroundColor(Color.WHITE);
        chart.getStyler().setPlotGridLinesColor(GRID);
        chart.getStyler().setXAxisLogarithmic(logarithmic);
        chart.getStyler().setYAxisLogarithmic(logarithmic);
        double top = 0;
        for (Line line : lines) {
            for (double y : line.y) {
                top = Double.isFinite(y) ? Math.max(top, y) : top;
            }
        }
        for (Span span : spans) {
            XYSeries series = chart.addSeries(unique(chart.getSeriesMap(), span.name),
                new double[] {span.from, span.from, span.to, span.to}, new double[] {0, top, top, 0});
            series.setXYSeriesRenderStyle(XYSeries.XYSeriesRenderStyle.Area);
            series.setMarker(SeriesMarkers.NONE);
            series.setFillColor(new Color(200, 60, 40, 50));
            series.setLineColor(new Color(200, 60, 40, 90));
        }
        for (Line line : lines) {
            if (line.x.length > 0) {
                chart.addSeries(unique(chart.getSeriesMap(), line.name), line.x, line.y)
                    .setMarker(SeriesMarkers.NONE);
            }
        }
        if (chart.getSeriesMap().isEmpty()) {
            return "<p>" + Page.text(title) + ": nothing to draw</p>\n";
        }
        ByteArrayOutputStream png = new ByteArrayOutputStream();
        BitmapEncoder.saveBitmap(chart, png, BitmapEncoder.BitmapFormat.PNG);
        return "<img alt=\"" + Page.text(title) + "\" src=\"data:image/png;base64,"
            + Base64.getEncoder().encodeToString(png.toByteArray()) + "\">\n";
    }

    private static String unique(Map<String, XYSeries> used, String name) {
        String free = name;
        for (int i = 2; used.containsKey(free); i++) {
            free = name + " " + i;
        }
        return free;
    }
}
