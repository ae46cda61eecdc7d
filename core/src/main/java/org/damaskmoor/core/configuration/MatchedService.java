package org.damaskmoor.core.configuration;

import org.damaskmoor.schema.configuration.ServiceConfiguration;

/** A service with its rules compiled for matching requests. Immutable and thread-safe. */
public interface MatchedService {
    /** Caller of a request without caller header from an address in no configured range. */
    String UNIDENTIFIED_CALLER = "unidentified";

    /** Returns the service's name. */
    String name();

    /** Returns the version of the configuration that it was built from. */
    long version();

    /** Returns the configuration that it was built from. */
    ServiceConfiguration configuration();

    /** Returns the name of the header that contains the caller. */
    String callerHeader();

    /**
     * Returns the first matching rule, or the default rule if none matches.
     *
     * @param method as sent
     * @param path with or without a query
     */
    MatchedRule findRule(String method, String path);

    /**
     * Returns the caller's name.
     *
     * @param headerValue value of {@link #callerHeader()}; null or empty if absent
     * @param address the peer's address, 4 or 16 bytes
     */
    String callerOf(String headerValue, byte[] address);
}
