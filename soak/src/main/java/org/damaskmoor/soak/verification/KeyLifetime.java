package org.damaskmoor.soak.verification;

/**
 * Whose key it is and when it was removed. Immutable and thread-safe.
 *
 * @param removedAt when the store had acknowledged its removal, in milliseconds; {@link #IN_FORCE}
 *     if it was not removed
 */
public record KeyLifetime(String tenant, long removedAt) {
    /** Later than any time of a run; half of the maximum, so that times can be added to it. */
    public static final long IN_FORCE = Long.MAX_VALUE / 2;
}
