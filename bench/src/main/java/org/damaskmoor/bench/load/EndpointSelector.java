package org.damaskmoor.bench.load;

import java.net.URI;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Selects the endpoint for a send; temporarily excludes endpoints that failed or reported that they
 * are draining.
 *
 * <p>Not thread safe: confined to the callers' event loop.
 */
public final class EndpointSelector {
    private static final long EXCLUSION_NANOSECONDS = TimeUnit.SECONDS.toNanos(5);

    private final List<URI> urls;
    private final Map<URI, Long> excludedUntil = new HashMap<>();

    public EndpointSelector(List<URI> urls) {
        this.urls = List.copyOf(urls);
    }

    /**
     * Returns the endpoint that the number selects among those not excluded, or among all if all
     * are excluded.
     */
    public URI choose(int number, long nowNanoseconds) {
        List<URI> usable =
                urls.stream()
                        .filter(
                                url ->
                                        excludedUntil.getOrDefault(url, nowNanoseconds)
                                                <= nowNanoseconds)
                        .toList();
        List<URI> from = usable.isEmpty() ? urls : usable;
        return from.get(number % from.size());
    }

    /** Excludes the endpoint for 5 s. */
    public void exclude(URI url, long nowNanoseconds) {
        excludedUntil.put(url, nowNanoseconds + EXCLUSION_NANOSECONDS);
    }
}
