package org.damaskmoor.core.placement;

/**
 * What placement knows of a call. Immutable and thread-safe.
 *
 * @param usualMilliseconds what such calls take on an idle VM; 0 when unknown
 * @param goalMilliseconds time in which the answer has its full worth; 0 when there is no goal
 */
public record WorkView(double usualMilliseconds, double goalMilliseconds) {}
