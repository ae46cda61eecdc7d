package org.damaskmoor.bench.load;

import java.net.URI;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Where callers may send: they leave out for a while an entry that failed or said that it is
 * draining.
 *
 * <p>Not thread safe: the callers' event loop owns it.
 */
public final class Entries {
    private static final long AVOID_NANOSECONDS = TimeUnit.SECONDS.toNanos(5);

    private final List<URI> urls;
    private final Map<URI, Long> avoidedUntil = new HashMap<>();

    public Entries(List<URI> urls) {
        this.urls = List.copyOf(urls);
    }

    /** Returns the entry that the number selects among those that aren't avoided. */
    public URI choose(int number, long nowNanoseconds) {
        List<URI> usable =
                urls.stream()
                        .filter(
                                url ->
                                        avoidedUntil.getOrDefault(url, nowNanoseconds)
                                                <= nowNanoseconds)
                        .toList();
        List<URI> from = usable.isEmpty() ? urls : usable;
        return from.get(number % from.size());
    }

    /** Leaves the entry out for a while. */
    public void avoid(URI url, long nowNanoseconds) {
        avoidedUntil.put(url, nowNanoseconds + AVOID_NANOSECONDS);
    }
}
