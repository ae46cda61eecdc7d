package org.damaskmoor.core.placement;

/**
 * The properties of a call that the choice of its target depends on. Immutable and thread-safe.
 *
 * @param serviceMilliseconds mean service time of such calls on an idle VM; 0 when unknown
 * @param objectiveMilliseconds time left until the latency objective
 * @param kilobytes mean size of such a call and its answer
 */
public record CallProfile(
        double serviceMilliseconds, double objectiveMilliseconds, double kilobytes) {}
