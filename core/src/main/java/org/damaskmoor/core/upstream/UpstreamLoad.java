package org.damaskmoor.core.upstream;

/**
 * The load that an upstream reported with an answer. Immutable and thread-safe.
 *
 * @param running number of running calls
 * @param waiting number of queued calls
 * @param slots number of calls that it can run concurrently
 * @param slowness current service time on its VM as a multiple of normal; 0 when unknown
 */
public record UpstreamLoad(int running, int waiting, int slots, double slowness) {}
