package org.damaskmoor.core.routing;

/**
 * The target chosen for one attempt at a request. Immutable and thread-safe.
 *
 * @param target where to send the attempt
 * @param distance how far that is
 * @param expectedNanoseconds expected time until the answer, failures weighed as time
 */
public record Choice(Target target, Distance distance, long expectedNanoseconds) {}
