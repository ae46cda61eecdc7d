package org.damaskmoor.report.internal;

import com.google.protobuf.InvalidProtocolBufferException;
import com.google.protobuf.ListValue;
import com.google.protobuf.Struct;
import com.google.protobuf.Value;
import com.google.protobuf.util.JsonFormat;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Base64;
import java.util.List;
import java.util.Locale;
import java.util.stream.Collectors;
import org.damaskmoor.report.internal.Report.Plot;
import org.damaskmoor.report.internal.Report.Table;
import org.knowm.xchart.BitmapEncoder;
import org.knowm.xchart.CategoryChart;
import org.knowm.xchart.CategoryChartBuilder;

/** Renders a report as text, JSON or HTML. Stateless and thread-safe. */
final class ReportRenderer {
    private static final int PLOT_WIDTH = 900;
    private static final int PLOT_HEIGHT = 420;

    private ReportRenderer() {}

    static String text(Report report) {
        StringBuilder text = new StringBuilder(report.title()).append('\n');
        for (Table table : report.tables()) {
            text.append('\n').append(table.name()).append('\n');
            appendRow(text, table, table.columns());
            table.rows().forEach(row -> appendRow(text, table, row));
            if (table.rows().isEmpty()) {
                text.append("(none)\n");
            }
        }
        return text.toString();
    }

    private static void appendRow(StringBuilder text, Table table, List<?> cells) {
        for (int i = 0; i < cells.size(); i++) {
            int width = width(table, i);
            String cell = cell(cells.get(i));
            text.append(cell).append(" ".repeat(width - cell.length() + 2));
        }
        while (text.charAt(text.length() - 1) == ' ') {
            text.setLength(text.length() - 1);
        }
        text.append('\n');
    }

    private static int width(Table table, int column) {
        int width = table.columns().get(column).length();
        for (List<Object> row : table.rows()) {
            width = Math.max(width, cell(row.get(column)).length());
        }
        return width;
    }

    private static String cell(Object value) {
        return value instanceof Double number
                ? String.format(Locale.ROOT, "%.3f", number)
                : String.valueOf(value);
    }

    static String json(Report report) {
        Struct.Builder root = Struct.newBuilder();
        for (Table table : report.tables()) {
            ListValue.Builder rows = ListValue.newBuilder();
            table.rows().forEach(row -> rows.addValues(jsonRow(table, row)));
            root.putFields(table.name(), Value.newBuilder().setListValue(rows).build());
        }
        try {
            return JsonFormat.printer().print(root) + "\n";
        } catch (InvalidProtocolBufferException impossible) {
            throw new IllegalStateException(
                    "A structure of finite values must be printable as JSON.", impossible);
        }
    }

    private static Value jsonRow(Table table, List<Object> row) {
        Struct.Builder object = Struct.newBuilder();
        for (int i = 0; i < row.size(); i++) {
            object.putFields(table.columns().get(i), jsonValue(row.get(i)));
        }
        return Value.newBuilder().setStructValue(object).build();
    }

    private static Value jsonValue(Object value) {
        boolean finite = value instanceof Number number && Double.isFinite(number.doubleValue());
        return finite
                ? Value.newBuilder().setNumberValue(((Number) value).doubleValue()).build()
                : Value.newBuilder().setStringValue(String.valueOf(value)).build();
    }

    static String html(Report report) {
        StringBuilder html = new StringBuilder();
        html.append("<!DOCTYPE html><html lang=\"en\"><head><meta charset=\"utf-8\"><title>")
                .append(escape(report.title()))
                .append("</title><style>body{font-family:sans-serif;margin:2em}")
                .append("td,th{padding:.2em .8em;text-align:left;border-bottom:1px solid #ccc}")
                .append("</style></head><body><h1>")
                .append(escape(report.title()))
                .append("</h1>\n");
        report.plots().stream()
                .filter(plot -> !plot.labels().isEmpty())
                .forEach(plot -> html.append(image(plot)));
        report.tables().forEach(table -> html.append(htmlTable(table)));
        return html.append("</body></html>\n").toString();
    }

    private static String htmlTable(Table table) {
        String head =
                table.columns().stream()
                        .map(column -> "<th>" + escape(column) + "</th>")
                        .collect(Collectors.joining());
        String rows =
                table.rows().stream()
                        .map(
                                row ->
                                        row.stream()
                                                .map(
                                                        value ->
                                                                "<td>"
                                                                        + escape(cell(value))
                                                                        + "</td>")
                                                .collect(Collectors.joining("", "<tr>", "</tr>\n")))
                        .collect(Collectors.joining());
        return "<h2>"
                + escape(table.name())
                + "</h2><table><tr>"
                + head
                + "</tr>\n"
                + rows
                + "</table>\n";
    }

    private static String image(Plot plot) {
        CategoryChart chart =
                new CategoryChartBuilder()
                        .width(PLOT_WIDTH)
                        .height(PLOT_HEIGHT)
                        .title(plot.title())
                        .yAxisTitle(plot.axis())
                        .build();
        chart.getStyler().setLegendVisible(false);
        chart.getStyler().setXAxisLabelRotation(30);
        chart.addSeries(plot.axis(), plot.labels(), plot.values());
        try {
            byte[] bytes = BitmapEncoder.getBitmapBytes(chart, BitmapEncoder.BitmapFormat.PNG);
            return "<p><img alt=\""
                    + escape(plot.title())
                    + "\" src=\"data:image/png;base64,"
                    + Base64.getEncoder().encodeToString(bytes)
                    + "\"></p>\n";
        } catch (IOException failure) {
            throw new UncheckedIOException(
                    "The plot " + plot.title() + " could not be encoded as PNG.", failure);
        }
    }

    private static String escape(String text) {
        return text.replace("&", "&amp;")
                .replace("<", "&lt;")
                .replace(">", "&gt;")
                .replace("\"", "&quot;");
    }
}
