package org.damaskmoor.bench.experiment;

import java.util.List;
import org.damaskmoor.bench.http.JsonObject;

/**
 * One scenario in which policies are compared, read from a scenario file. Immutable.
 *
 * @param name name of the scenario in results
 * @param load offered load as a share of the capacity in the entry regions
 * @param sites the upstreams of each data centre
 * @param slots requests that an upstream runs concurrently
 * @param serviceMilliseconds typical service time
 * @param bookingShare share of requests that are non-idempotent
 * @param entryRegions regions whose nodes callers send requests to
 * @param links properties of the links between data centres and regions, as in a link file
 * @param fault the fault that is injected during the measured load
 * @param reportDelayMilliseconds age that load reports have when an entry node uses them
 * @param bounds the targets that the product must meet
 */
public record Scenario(
        String name,
        double load,
        List<Site> sites,
        int slots,
        double serviceMilliseconds,
        double bookingShare,
        List<String> entryRegions,
        JsonObject links,
        Fault fault,
        long reportDelayMilliseconds,
        List<Bound> bounds) {
    private static final double MILLISECONDS_PER_SECOND = 1000;

    public Scenario {
        sites = List.copyOf(sites);
        entryRegions = List.copyOf(entryRegions);
        bounds = List.copyOf(bounds);
    }

    /** The upstreams of one data centre. */
    public record Site(String dataCentre, String region, int upstreams) {}

    /** Kinds of faults. */
    public enum FaultKind {
        /** No fault. */
        NONE,
        /** Random upstreams become slow for a short time, one after the other. */
        SLOW_SPELLS,
        /** The last upstreams become slow repeatedly. */
        NOISY_NEIGHBOURS,
        /** The last upstreams start during the measured load and are slow at first. */
        COLD_START,
        /** The last upstreams answer every request immediately with an error. */
        FAIL_FAST
    }

    /**
     * A fault and its extent. Immutable.
     *
     * @param upstreams number of upstreams that are affected at once
     * @param factor multiplier of the service time
     * @param spellMilliseconds how long the fault lasts each time
     * @param pauseMilliseconds mean time until the fault recurs
     */
    public record Fault(
            FaultKind kind,
            int upstreams,
            double factor,
            long spellMilliseconds,
            long pauseMilliseconds) {}

    /** The figure that a bound applies to. */
    public enum Measure {
        /**
         * Latency at the 99th percentile, at most this fraction of that of {@link
         * Policy#TWO_CHOICES}.
         */
        P99_OF_TWO_CHOICES,
        /**
         * Latency at the 99.9th percentile, at most this fraction of that of {@link
         * Policy#TWO_CHOICES}.
         */
        P999_OF_TWO_CHOICES,
        /**
         * Goodput weighted by importance, at least this fraction of the capacity of the upstreams.
         */
        GOODPUT_OF_CAPACITY
    }

    /** A target for one figure. Immutable. */
    public record Bound(Measure measure, double value) {}

    /** Returns the number of upstreams at all sites. */
    public int upstreams() {
        return sites.stream().mapToInt(Site::upstreams).sum();
    }

    /** Returns the offered load in requests per second. */
    public double requestsPerSecond() {
        int entryUpstreams =
                sites.stream()
                        .filter(site -> entryRegions.contains(site.region()))
                        .mapToInt(Site::upstreams)
                        .sum();
        return load * entryUpstreams * slots * MILLISECONDS_PER_SECOND / serviceMilliseconds;
    }
}
