package org.damaskmoor.bench.link;

/**
 * One emulated link in one direction: a delay, a rate that it shares with other links, and faults.
 *
 * <p>Thread safe: channels of several event loops use it.
 */
public final class Link {
    /**
     * How a link behaves.
     *
     * @param delayNanoseconds time one way
     * @param bitsPerSecond rate, 0 for no limit
     * @param cut true: nothing passes
     * @param silences counts the silences so far; a channel opened before the last one is silent
     *     for good
     */
    public record Profile(long delayNanoseconds, long bitsPerSecond, boolean cut, int silences) {}

    private final LinkRate rate;
    private volatile Profile profile;

    public Link(Profile profile, LinkRate rate) {
        this.rate = rate;
        this.profile = profile;
    }

    /** Returns how the link behaves now. */
    public Profile profile() {
        return profile;
    }

    /** Makes the link behave differently from now on. */
    public void change(Profile newProfile) {
        profile = newProfile;
    }

    /** Sends so many bytes now and returns when they arrive, in the caller's nanoseconds. */
    public long arrival(long nowNanoseconds, int bytes) {
        Profile current = profile;
        return rate.send(nowNanoseconds, bytes, current.bitsPerSecond())
                + current.delayNanoseconds();
    }
}
