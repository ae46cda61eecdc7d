package org.damaskmoor.core.placement;

/**
 * What placement knows of a call. Immutable and thread-safe.
 *
 * @param usualMilliseconds what such calls take on an idle VM; 0 when unknown
 * @param objectiveMilliseconds time left in which the answer has its full worth
 * @param kilobytes what such a call and its answer carry
 */
public record CallProfile(
        double usualMilliseconds, double objectiveMilliseconds, double kilobytes) {}
