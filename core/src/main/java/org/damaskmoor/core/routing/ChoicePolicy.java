package org.damaskmoor.core.routing;

/**
 * Chooses one of the candidates.
 *
 * <pre>{@code
 * ChoicePolicy random = (candidates, now) -> candidates.draw();
 * }</pre>
 *
 * <p>Called by one thread. Implementations need not be thread-safe.
 */
@FunctionalInterface
public interface ChoicePolicy {
    /** The chosen candidate, or null when there is none. */
    Candidate choose(Candidates candidates, long nowNanoseconds);
}
