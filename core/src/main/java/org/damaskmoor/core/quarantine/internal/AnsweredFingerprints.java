package org.damaskmoor.core.quarantine.internal;

import org.damaskmoor.core.quarantine.RequestFingerprint;

/**
 * Remembers the fingerprints of recently answered requests.
 *
 * <p>A hash table of fixed size in which a fingerprint overwrites the earlier one in its slot. It
 * may forget an answer, but never reports one that was not given. Not thread-safe.
 */
final class AnsweredFingerprints {
    private static final int SLOTS = 4096;

    private final long[] fingerprints = new long[SLOTS];
    private final long[] answeredAtNanoseconds = new long[SLOTS];
    private final boolean[] filled = new boolean[SLOTS];

    void add(RequestFingerprint request, long now) {
        int slot = slot(request);
        fingerprints[slot] = request.value();
        answeredAtNanoseconds[slot] = now;
        filled[slot] = true;
    }

    boolean answeredWithin(RequestFingerprint request, long spanNanoseconds, long now) {
        int slot = slot(request);
        return filled[slot]
                && fingerprints[slot] == request.value()
                && now - answeredAtNanoseconds[slot] <= spanNanoseconds;
    }

    private static int slot(RequestFingerprint request) {
        return (int) request.value() & (SLOTS - 1);
    }
}
