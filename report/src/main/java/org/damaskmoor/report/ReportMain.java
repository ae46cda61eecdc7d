package org.damaskmoor.report;

/** Entry point of the binary damaskmoor-report. */
public final class ReportMain {
    private ReportMain() {}

    public static void main(String[] arguments) {
        System.exit(0);
    }
}
