package org.damaskmoor.bench.experiment;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import org.knowm.xchart.BitmapEncoder;
import org.knowm.xchart.BitmapEncoder.BitmapFormat;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;
import org.knowm.xchart.style.markers.SeriesMarkers;

/** Plots latency over quantile, one line per policy. Stateless and thread-safe. */
final class LatencyPlot {
    private static final int WIDTH = 900;
    private static final int HEIGHT = 600;
    private static final double MAX_NINES = 4;
    private static final double NINES_PER_POINT = 0.05;
    private static final double PERCENT = 100;

    private LatencyPlot() {}

    /** Writes the plot as a PNG file. */
    static void write(String scenario, List<PolicyResult> results, Path file) throws IOException {
        XYChart chart =
                new XYChartBuilder()
                        .width(WIDTH)
                        .height(HEIGHT)
                        .title(scenario)
                        .xAxisTitle("quantile, in nines (1: 90 %, 2: 99 %, 3: 99.9 %)")
                        .yAxisTitle("latency in ms")
                        .build();
        chart.getStyler().setYAxisLogarithmic(true);
        double[] nines = nines();
        for (PolicyResult result : results) {
            chart.addSeries(result.policy().label(), nines, milliseconds(result, nines))
                    .setMarker(SeriesMarkers.NONE);
        }
        BitmapEncoder.saveBitmap(chart, file.toString(), BitmapFormat.PNG);
    }

    private static double[] nines() {
        double[] nines = new double[(int) Math.round(MAX_NINES / NINES_PER_POINT)];
        for (int i = 0; i < nines.length; i++) {
            nines[i] = i * NINES_PER_POINT;
        }
        return nines;
    }

    private static double[] milliseconds(PolicyResult result, double[] nines) {
        double[] values = new double[nines.length];
        for (int i = 0; i < nines.length; i++) {
            double percentile = PERCENT * (1 - Math.pow(10, -nines[i]));
            values[i] = result.milliseconds(percentile);
        }
        return values;
    }
}
