package org.damaskmoor.bench.capacity;

import java.util.function.IntFunction;

/**
 * Measures the heap that an object retains per unit of content, by comparing a small and a large
 * object. Stateless.
 */
final class HeapMeter {
    private static final int GC_RUNS = 4;

    private HeapMeter() {}

    /** Returns the bytes per unit, from an object of few units and one of many. */
    static double bytesPerUnit(int few, int many, IntFunction<Object> factory) {
        long small = retained(few, factory);
        long large = retained(many, factory);
        return (double) (large - small) / (many - few);
    }

    private static long retained(int units, IntFunction<Object> factory) {
        long before = usedHeap();
        Object object = factory.apply(units);
        long after = usedHeap();
        // Uses the object, so that the garbage collector can't free it before the second reading.
        if (object.hashCode() == Integer.MIN_VALUE) {
            System.out.println();
        }
        return after - before;
    }

    private static long usedHeap() {
        for (int i = 0; i < GC_RUNS; i++) {
            System.gc();
        }
        Runtime runtime = Runtime.getRuntime();
        return runtime.totalMemory() - runtime.freeMemory();
    }
}
