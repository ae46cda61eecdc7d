package org.damaskmoor.bench;

/** Entry point of the binary damaskmoor-bench. */
public final class BenchMain {
    private BenchMain() {}

    public static void main(String[] arguments) {
        System.exit(0);
    }
}
