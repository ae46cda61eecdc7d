package org.damaskmoor.bench.upstream;

import java.util.ArrayDeque;
import java.util.Queue;

/**
 * Limits the concurrent work of a server; further work is queued in order of arrival.
 *
 * <p>Invariant: no more work runs at once than there are slots. Not thread safe: confined to one
 * event loop.
 */
public final class Slots {
    /** Work that occupies a slot until it calls the given release, exactly once. */
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

    /** Returns the number of queued items. */
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
