package org.damaskmoor.core.routing;

/**
 * The ways to choose among candidates: the one the product uses, and baselines to measure against.
 *
 * <p>Stateless and thread-safe; so are the policies.
 */
public final class ChoicePolicies {
    private static final int TWO = 2;

    private ChoicePolicies() {}

    /** The least expected completion time among a few candidates. What the product uses. */
    public static ChoicePolicy expectedCompletion(int sampledCandidates) {
        return (candidates, now) -> leastExpected(candidates, sampledCandidates, now);
    }

    /** Baseline: any candidate. */
    public static ChoicePolicy random() {
        return (candidates, now) -> candidates.draw();
    }

    /** Baseline: the candidate whose last turn is longest ago. */
    public static ChoicePolicy roundRobin() {
        return (candidates, now) -> leastRecent(candidates);
    }

    /** Baseline: the candidate with the fewest own requests in flight. */
    public static ChoicePolicy leastOwnRequests() {
        return (candidates, now) -> leastOwn(candidates, Integer.MAX_VALUE);
    }

    /** Baseline: the one of two candidates with fewer own requests in flight. */
    public static ChoicePolicy powerOfTwoChoices() {
        return (candidates, now) -> leastOwn(candidates, TWO);
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

    private static Candidate leastRecent(Candidates candidates) {
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

    private static Candidate leastOwn(Candidates candidates, int sampled) {
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
