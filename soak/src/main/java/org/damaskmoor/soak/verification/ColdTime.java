package org.damaskmoor.soak.verification;

/**
 * A time in which an upstream was cold and said so. Immutable and thread-safe.
 *
 * @param upstream incarnation of the upstream
 * @param from start, in milliseconds
 * @param until end, in milliseconds
 */
public record ColdTime(String upstream, long from, long until) {}
