package org.damaskmoor.core.routing;

/**
 * Load balancing policy: selects one of the candidates for a request.
 *
 * <pre>{@code
 * ChoicePolicy random = (candidates, now) -> candidates.draw();
 * }</pre>
 *
 * <p>Called by one thread. Implementations need not be thread-safe.
 */
@FunctionalInterface
public interface ChoicePolicy {
    /** Returns the selected candidate, or null when there is none. */
    Candidate choose(Candidates candidates, long nowNanoseconds);
}
