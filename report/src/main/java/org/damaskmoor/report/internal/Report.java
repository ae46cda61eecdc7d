package org.damaskmoor.report.internal;

import java.util.List;

/**
 * A report before it is written as text, JSON or HTML. Immutable and thread-safe.
 *
 * @param title what the report shows
 * @param tables its tables, in order
 * @param plots its plots, in order; only the HTML page shows them
 */
record Report(String title, List<Table> tables, List<Plot> plots) {
    /**
     * A table.
     *
     * @param name key in JSON and heading elsewhere
     * @param columns names of the columns
     * @param rows cells: numbers or text
     */
    record Table(String name, List<String> columns, List<List<Object>> rows) {}

    /**
     * A bar chart.
     *
     * @param title heading
     * @param axis what the values are
     * @param labels one per bar
     * @param values one per bar
     */
    record Plot(String title, String axis, List<String> labels, List<Double> values) {}
}
