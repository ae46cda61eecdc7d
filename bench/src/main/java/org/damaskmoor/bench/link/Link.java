package org.damaskmoor.bench.link;

/**
 * One direction of an emulated link, with a delay, a rate shared with other links, and faults.
 *
 * <p>Thread safe: used by channels of several event loops.
 */
public final class Link {
    /**
     * The behaviour of a link.
     *
     * @param delayNanoseconds one-way delay
     * @param bitsPerSecond rate, 0 for no limit
     * @param cut whether the link passes nothing
     * @param silences number of silences so far; a channel opened before the latest one stays
     *     silent
     */
    public record Profile(long delayNanoseconds, long bitsPerSecond, boolean cut, int silences) {}

    private final LinkRate rate;
    private volatile Profile profile;

    public Link(Profile profile, LinkRate rate) {
        this.rate = rate;
        this.profile = profile;
    }

    /** Returns the current behaviour. */
    public Profile profile() {
        return profile;
    }

    /** Replaces the behaviour. */
    public void change(Profile newProfile) {
        profile = newProfile;
    }

    /**
     * Sends the given number of bytes now and returns their arrival time on the caller's nanosecond
     * clock.
     */
    public long arrival(long nowNanoseconds, int bytes) {
        Profile current = profile;
        return rate.send(nowNanoseconds, bytes, current.bitsPerSecond())
                + current.delayNanoseconds();
    }
}
