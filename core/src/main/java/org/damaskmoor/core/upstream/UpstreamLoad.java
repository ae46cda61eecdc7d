package org.damaskmoor.core.upstream;

/**
 * The load that an upstream told with an answer. Immutable and thread-safe.
 *
 * @param running calls that it runs
 * @param waiting calls that it queues
 * @param slots calls that it can run at once
 * @param slowness how long work takes on its VM at this moment, 1 is as usual; 0 when untold
 */
public record UpstreamLoad(int running, int waiting, int slots, double slowness) {}
