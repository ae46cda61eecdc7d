package org.damaskmoor.core.configuration;

import org.damaskmoor.schema.configuration.ServiceConfiguration;

/** A service in the form that requests are matched with. Immutable and thread-safe. */
public interface MatchedService {
    /** The caller of a request that carries no name and comes from no known range. */
    String UNIDENTIFIED_CALLER = "unidentified";

    /** The service's name. */
    String name();

    /** Version of the configuration that it was made from. */
    long version();

    /** The configuration that it was made from. */
    ServiceConfiguration configuration();

    /** Name of the header that names the caller. */
    String callerHeader();

    /**
     * The first rule that matches, or the treatment of requests that none matches.
     *
     * @param method as sent
     * @param path with or without a query
     */
    MatchedRule findRule(String method, String path);

    /**
     * The caller's name.
     *
     * @param headerValue value of {@link #callerHeader()}; null or empty when absent
     * @param address the peer's address, 4 or 16 bytes
     */
    String callerOf(String headerValue, byte[] address);
}
