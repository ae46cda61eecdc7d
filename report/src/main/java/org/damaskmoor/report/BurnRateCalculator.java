package org.damaskmoor.report;

import java.util.ArrayList;
import java.util.List;
import org.damaskmoor.core.accounting.LatencyBuckets;
import org.damaskmoor.schema.accounting.RequestCount;
import org.damaskmoor.schema.configuration.ServiceConfiguration;
import org.damaskmoor.schema.configuration.ServiceLevelObjective;

/**
 * Calculates the burn rates of services' error budgets over several windows (Site Reliability
 * Workbook, "Alerting on SLOs").
 *
 * <p>A request is good when it was answered in time; any other outcome (late, refused, unknown,
 * failed) is bad. Requests count by weight. A burn rate of 1 uses the budget up in exactly the
 * objective's period. Stateless and thread-safe.
 */
public final class BurnRateCalculator {
    private static final double PARTS_PER_MILLION = 1_000_000;
    private static final double FAST_PAGE_BURN_RATE = 14.4;
    private static final double SLOW_PAGE_BURN_RATE = 6;
    private static final double TICKET_BURN_RATE = 1;
    private static final double QUANTILE = 0.99;

    /** The windows of a report. */
    public enum Window {
        FIVE_MINUTES("5m", 5),
        ONE_HOUR("1h", 60),
        SIX_HOURS("6h", 360),
        THREE_DAYS("3d", 4_320);

        private final String label;
        private final int minutes;

        Window(String label, int minutes) {
            this.label = label;
            this.minutes = minutes;
        }

        /** Returns the short name. */
        public String label() {
            return label;
        }

        /** Returns the length in minutes. */
        public int minutes() {
            return minutes;
        }
    }

    /**
     * Sums over one window.
     *
     * @param window the window
     * @param weight weight of all requests
     * @param badWeight weight of the requests that were not answered in time
     * @param burnRate share of bad weight divided by the share that the objective allows
     */
    public record Rate(Window window, long weight, long badWeight, double burnRate) {}

    /**
     * State of one objective.
     *
     * @param service the service
     * @param kind the kind of requests; empty for all
     * @param objective the objective
     * @param rates one per window, shortest first
     * @param budgetLeft remaining share of the error budget over the longest window; negative if
     *     overspent
     * @param p99Milliseconds upper bound of the 99th percentile of latency over the longest window
     * @param alert {@code page}, {@code ticket} or {@code none}
     */
    public record Burn(
            String service,
            String kind,
            ServiceLevelObjective objective,
            List<Rate> rates,
            double budgetLeft,
            long p99Milliseconds,
            String alert) {}

    private BurnRateCalculator() {}

    /**
     * Returns the state of every objective of the services at the end of {@code nowEpochMinute}.
     */
    public static List<Burn> calculate(
            List<ServiceConfiguration> services, List<RequestCount> counts, long nowEpochMinute) {
        List<Burn> burns = new ArrayList<>();
        for (ServiceConfiguration service : services) {
            for (ServiceLevelObjective objective : service.getObjectivesList()) {
                List<RequestCount> matching =
                        counts.stream()
                                .filter(count -> count.getService().equals(service.getName()))
                                .filter(count -> matches(objective, count))
                                .toList();
                burns.add(burn(service.getName(), objective, matching, nowEpochMinute));
            }
        }
        return burns;
    }

    private static boolean matches(ServiceLevelObjective objective, RequestCount count) {
        return objective.getKind().isEmpty() || objective.getKind().equals(count.getKind());
    }

    private static Burn burn(
            String service,
            ServiceLevelObjective objective,
            List<RequestCount> counts,
            long nowEpochMinute) {
        double allowed = 1 - objective.getTargetPartsPerMillion() / PARTS_PER_MILLION;
        List<Rate> rates = new ArrayList<>();
        for (Window window : Window.values()) {
            rates.add(rate(window, counts, allowed, nowEpochMinute));
        }
        double budgetLeft = 1 - rates.get(rates.size() - 1).burnRate();
        return new Burn(
                service,
                objective.getKind(),
                objective,
                List.copyOf(rates),
                budgetLeft,
                p99(counts),
                alert(rates));
    }

    private static Rate rate(
            Window window, List<RequestCount> counts, double allowed, long nowEpochMinute) {
        long weight = 0;
        long bad = 0;
        for (RequestCount count : counts) {
            if (count.getEpochMinute() > nowEpochMinute - window.minutes()
                    && count.getEpochMinute() <= nowEpochMinute) {
                weight += count.getWeight();
                bad += count.getWeight() - count.getAnsweredInTimeWeight();
            }
        }
        double badShare = weight == 0 ? 0 : (double) bad / weight;
        return new Rate(
                window, weight, bad, allowed > 0 ? badShare / allowed : rateWithoutBudget(bad));
    }

    private static double rateWithoutBudget(long bad) {
        return bad == 0 ? 0 : Double.POSITIVE_INFINITY;
    }

    private static String alert(List<Rate> rates) {
        double fiveMinutes = rates.get(0).burnRate();
        double oneHour = rates.get(1).burnRate();
        double sixHours = rates.get(2).burnRate();
        double threeDays = rates.get(3).burnRate();
        boolean fast = oneHour >= FAST_PAGE_BURN_RATE && fiveMinutes >= FAST_PAGE_BURN_RATE;
        boolean slow = sixHours >= SLOW_PAGE_BURN_RATE && fiveMinutes >= SLOW_PAGE_BURN_RATE;
        if (fast || slow) {
            return "page";
        }
        return threeDays >= TICKET_BURN_RATE && sixHours >= TICKET_BURN_RATE ? "ticket" : "none";
    }

    private static long p99(List<RequestCount> counts) {
        long[] buckets = new long[LatencyBuckets.COUNT];
        long total = 0;
        for (RequestCount count : counts) {
            for (int i = 0; i < Math.min(buckets.length, count.getLatencyBucketsCount()); i++) {
                buckets[i] += count.getLatencyBuckets(i);
                total += count.getLatencyBuckets(i);
            }
        }
        long below = 0;
        for (int i = 0; i < buckets.length; i++) {
            below += buckets[i];
            if (total > 0 && below >= Math.ceil(total * QUANTILE)) {
                return LatencyBuckets.upperMilliseconds(i);
            }
        }
        return 0;
    }
}
