package org.damaskmoor.core.routing;

/**
 * The target chosen for one attempt at a request. Immutable and thread-safe.
 *
 * @param target the target to send the attempt to
 * @param distance distance from the entry node to the target
 * @param expectedNanoseconds expected time until an answer, including penalties for failures and
 *     refusals
 */
public record Choice(Target target, Distance distance, long expectedNanoseconds) {}
