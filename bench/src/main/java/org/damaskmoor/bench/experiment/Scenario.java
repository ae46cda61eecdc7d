package org.damaskmoor.bench.experiment;

import java.util.List;
import org.damaskmoor.bench.http.JsonObject;

/**
 * One situation in which policies are compared, read from a scenario file. Immutable.
 *
 * @param name names it in results
 * @param load offered load as a share of the capacity in the entry regions
 * @param sites where upstreams stand
 * @param slots requests that an upstream runs at once
 * @param serviceMilliseconds typical service time
 * @param bookingShare share of requests that are non-idempotent
 * @param entryRegions regions whose nodes callers send to
 * @param links how links between data centres and regions behave, as in a link file
 * @param fault what goes wrong during the measured load
 * @param reportDelayMilliseconds age that load reports have when an entry node uses them
 * @param bounds what the product has to hold
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

    /** What goes wrong. */
    public enum FaultKind {
        /** Nothing. */
        NONE,
        /** Again and again another upstream is slow for a short time. */
        SLOW_SPELLS,
        /** The same upstreams are slow again and again. */
        NOISY_NEIGHBOURS,
        /** The last upstreams start cold in the measured load. */
        COLD_START,
        /** The last upstreams answer everything at once with an error. */
        FAIL_FAST
    }

    /**
     * A fault and its extent. Immutable.
     *
     * @param upstreams how many upstreams it concerns at once
     * @param factor on the service time
     * @param spellMilliseconds how long it lasts
     * @param pauseMilliseconds mean time until it comes again
     */
    public record Fault(
            FaultKind kind,
            int upstreams,
            double factor,
            long spellMilliseconds,
            long pauseMilliseconds) {}

    /** What a bound speaks of. */
    public enum Measure {
        /** At most this part of the 99th percentile of two choices. */
        P99_OF_TWO_CHOICES,
        /** At most this part of the 99.9th percentile of two choices. */
        P999_OF_TWO_CHOICES,
        /** At least this part of what the upstreams can do, weighted by importance. */
        GOODPUT_OF_CAPACITY
    }

    /** A bound from the stated targets. Immutable. */
    public record Bound(Measure measure, double value) {}

    /** Returns all upstreams. */
    public int upstreams() {
        return sites.stream().mapToInt(Site::upstreams).sum();
    }

    /** Returns the requests a second that callers send. */
    public double requestsPerSecond() {
        int near =
                sites.stream()
                        .filter(site -> entryRegions.contains(site.region()))
                        .mapToInt(Site::upstreams)
                        .sum();
        return load * near * slots * MILLISECONDS_PER_SECOND / serviceMilliseconds;
    }
}
