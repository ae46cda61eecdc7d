package org.damaskmoor.core.routing;

/**
 * The candidates for one choice, drawn one after the other in random order.
 *
 * <p>Only targets that may take the request are drawn, none twice: targets of the own region, and
 * those over the paid link only when the region has no headroom left. Not thread-safe.
 */
public interface Candidates {
    /** The next candidate, or null when all were drawn. */
    Candidate draw();
}
