package org.damaskmoor.core.membership.internal;

/**
 * Lifeguard's local health multiplier: a node that misses answers waits longer before it suspects
 * others.
 *
 * <p>Invariant: the score is between 0 and 8. Not thread-safe; used on the protocol thread.
 */
final class LocalHealth {
    private static final int MAX_SCORE = 8;

    private int score;

    void improve() {
        score = Math.max(0, score - 1);
    }

    void degrade(int by) {
        score = Math.min(MAX_SCORE, score + by);
    }

    long scale(long milliseconds) {
        return milliseconds * (score + 1);
    }

    int score() {
        return score;
    }
}
