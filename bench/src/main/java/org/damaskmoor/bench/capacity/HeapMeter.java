package org.damaskmoor.bench.capacity;

import java.util.function.IntFunction;

/**
 * Measures the heap that an object keeps, as the difference between a large and a small one.
 * Stateless.
 */
final class HeapMeter {
    private static final int COLLECTIONS = 4;

    private HeapMeter() {}

    /** Bytes that one more unit costs, between an object of few units and one of many. */
    static double bytesPerUnit(int few, int many, IntFunction<Object> maker) {
        long small = retained(few, maker);
        long large = retained(many, maker);
        return (double) (large - small) / (many - few);
    }

    private static long retained(int units, IntFunction<Object> maker) {
        long before = used();
        Object kept = maker.apply(units);
        long after = used();
        if (kept.hashCode() == Integer.MIN_VALUE) {
            System.out.println();
        }
        return after - before;
    }

    private static long used() {
        for (int i = 0; i < COLLECTIONS; i++) {
            System.gc();
        }
        Runtime runtime = Runtime.getRuntime();
        return runtime.totalMemory() - runtime.freeMemory();
    }
}
