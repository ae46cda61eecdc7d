package org.damaskmoor.bench.upstream;

import java.util.ArrayDeque;
import java.util.Queue;

/**
 * A server's slots: so much work at once, the rest waits in order of arrival.
 *
 * <p>Invariant: never more work at once than slots. Not thread safe: one event loop owns it.
 */
public final class Slots {
    /** Work that holds a slot until it runs the given release, once. */
    @FunctionalInterface
    public interface Work {
        /** Starts the work. */
        void start(Runnable release);
    }

    private final Queue<Work> waiting = new ArrayDeque<>();
    private int free;

    public Slots(int count) {
        free = count;
    }

    /** Starts the work as soon as a slot is free. */
    public void submit(Work work) {
        waiting.add(work);
        startWaiting();
    }

    /** Returns how much work waits. */
    public int waiting() {
        return waiting.size();
    }

    private void startWaiting() {
        while (free > 0 && !waiting.isEmpty()) {
            free--;
            waiting.remove().start(this::release);
        }
    }

    private void release() {
        free++;
        startWaiting();
    }
}
