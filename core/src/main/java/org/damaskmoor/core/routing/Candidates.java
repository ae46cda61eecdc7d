package org.damaskmoor.core.routing;

/**
 * Supplies the candidates for one choice in random order.
 *
 * <p>Only targets that may take the request are drawn, each at most once. Targets of other regions
 * are drawn only when the local region has no eligible target or no headroom left. Not thread-safe.
 */
public interface Candidates {
    /** Returns the next candidate, or null when all have been drawn. */
    Candidate draw();
}
