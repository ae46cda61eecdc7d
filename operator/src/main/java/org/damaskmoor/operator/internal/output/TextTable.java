package org.damaskmoor.operator.internal.output;

import java.util.ArrayList;
import java.util.List;

/** A table of text with aligned columns. Confined to one thread. */
final class TextTable {
    private static final int GAP_CHARACTERS = 2;
    private static final String EMPTY_CELL = "-";

    private final List<String[]> rows = new ArrayList<>();
    private final int[] widths;

    TextTable(String... titles) {
        widths = new int[titles.length];
        addRow(titles);
    }

    /** Adds a row with as many cells as there are titles. */
    void addRow(String... cells) {
        String[] filled = new String[widths.length];
        for (int column = 0; column < widths.length; column++) {
            filled[column] = cells[column].isEmpty() ? EMPTY_CELL : cells[column];
            widths[column] = Math.max(widths[column], filled[column].length());
        }
        rows.add(filled);
    }

    @Override
    public String toString() {
        StringBuilder text = new StringBuilder();
        for (String[] row : rows) {
            StringBuilder line = new StringBuilder();
            for (int column = 0; column < row.length; column++) {
                int blanks = widths[column] - row[column].length() + GAP_CHARACTERS;
                line.append(row[column]).append(" ".repeat(blanks));
            }
            text.append(line.toString().stripTrailing()).append('\n');
        }
        return text.toString();
    }
}
