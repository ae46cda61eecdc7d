package org.damaskmoor.core.membership.internal;

/**
 * How much this node doubts itself (Lifeguard's local health multiplier): a node that misses
 * answers waits longer before it suspects others.
 *
 * <p>Invariant: the score lies in 0 to 8. Confined to the thread that drives the protocol.
 */
final class LocalHealth {
    private static final int WORST_SCORE = 8;

    private int score;

    void improve() {
        score = Math.max(0, score - 1);
    }

    void degrade(int by) {
        score = Math.min(WORST_SCORE, score + by);
    }

    long scale(long milliseconds) {
        return milliseconds * (score + 1);
    }

    int score() {
        return score;
    }
}
