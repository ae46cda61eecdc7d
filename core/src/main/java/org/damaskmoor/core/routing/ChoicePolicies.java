package org.damaskmoor.core.routing;

/**
 * Load balancing policies: the one that production uses, and baselines for benchmarks.
 *
 * <p>This class and the policies that it returns are stateless and thread-safe.
 */
public final class ChoicePolicies {
    private static final int TWO = 2;

    private ChoicePolicies() {}

    /** Least expected completion time among a few random candidates. Used in production. */
    public static ChoicePolicy expectedCompletion(int sampledCandidates) {
        return (candidates, now) -> leastExpected(candidates, sampledCandidates, now);
    }

    /** Baseline: a random candidate. */
    public static ChoicePolicy random() {
        return (candidates, now) -> candidates.draw();
    }

    /** Baseline: the least recently chosen candidate. */
    public static ChoicePolicy roundRobin() {
        return (candidates, now) -> leastRecentlyChosen(candidates);
    }

    /** Baseline: the candidate with the fewest requests in flight from this entry node. */
    public static ChoicePolicy leastOwnRequests() {
        return (candidates, now) -> leastOwnInFlight(candidates, Integer.MAX_VALUE);
    }

    /**
     * Baseline: of two random candidates, the one with fewer requests in flight from this entry
     * node.
     */
    public static ChoicePolicy powerOfTwoChoices() {
        return (candidates, now) -> leastOwnInFlight(candidates, TWO);
    }

    private static Candidate leastExpected(Candidates candidates, int sampled, long now) {
        Candidate best = candidates.draw();
        if (best == null) {
            return null;
        }
        double least = best.expectedNanoseconds(now);
        for (int i = 1; i < sampled; i++) {
            Candidate other = candidates.draw();
            if (other == null) {
                return best;
            }
            double expected = other.expectedNanoseconds(now);
            if (expected < least) {
                best = other;
                least = expected;
            }
        }
        return best;
    }

    private static Candidate leastRecentlyChosen(Candidates candidates) {
        Candidate best = candidates.draw();
        Candidate other = best;
        while (other != null) {
            if (other.lastChoice() < best.lastChoice()) {
                best = other;
            }
            other = candidates.draw();
        }
        return best;
    }

    private static Candidate leastOwnInFlight(Candidates candidates, int sampled) {
        Candidate best = candidates.draw();
        Candidate other = best;
        for (int i = 1; i < sampled && other != null; i++) {
            other = candidates.draw();
            if (other != null && other.ownInFlight() < best.ownInFlight()) {
                best = other;
            }
        }
        return best;
    }
}
