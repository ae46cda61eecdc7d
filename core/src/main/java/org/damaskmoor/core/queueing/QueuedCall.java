package org.damaskmoor.core.queueing;

/**
 * A call that asks to run at an upstream. Immutable and thread-safe.
 *
 * @param handle what the caller of the room knows it by
 * @param priority 0 is the most urgent
 * @param objectiveAt until when its answer has its full worth, in milliseconds of the room's clock
 * @param deadlineAt until when anyone waits for it
 * @param usualMilliseconds what such calls take on an idle VM; 0 when unknown
 * @param spareMilliseconds how much later it may start here before another target is better
 * @param lastChoice whether its entry has no other target to try
 */
public record QueuedCall<T>(
        T handle,
        int priority,
        long objectiveAt,
        long deadlineAt,
        double usualMilliseconds,
        double spareMilliseconds,
        boolean lastChoice) {}
