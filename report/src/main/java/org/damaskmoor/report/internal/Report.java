package org.damaskmoor.report.internal;

import java.util.List;

/**
 * A report, independent of its output format. Immutable and thread-safe.
 *
 * @param title title of the report
 * @param tables the tables, in order
 * @param plots the plots, in order; only the HTML format shows them
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
     * @param axis label of the value axis
     * @param labels one per bar
     * @param values one per bar
     */
    record Plot(String title, String axis, List<String> labels, List<Double> values) {}
}
