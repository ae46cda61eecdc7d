package org.damaskmoor.soak.verification;

import java.util.OptionalDouble;

/**
 * What an upstream said in all its answers for a time. Immutable and thread-safe.
 *
 * @param upstream incarnation of the upstream
 * @param limit the request limit that it named, in requests a second; empty if it said that it is
 *     leaving
 * @param from start of the time, in milliseconds
 * @param until end of the time, in milliseconds
 */
public record Notice(String upstream, OptionalDouble limit, long from, long until) {
    /** An upstream that names a limit. */
    public static Notice limit(String upstream, double perSecond, long from, long until) {
        return new Notice(upstream, OptionalDouble.of(perSecond), from, until);
    }

    /** An upstream that is leaving, which it says until its end. */
    public static Notice leaving(String upstream, long from) {
        return new Notice(upstream, OptionalDouble.empty(), from, Long.MAX_VALUE / 2);
    }
}
