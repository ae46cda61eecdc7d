package org.damaskmoor.bench.experiment;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import org.damaskmoor.bench.experiment.Scenario.Bound;
import org.damaskmoor.bench.experiment.Scenario.Measure;

/**
 * Whether the product held one bound. Immutable.
 *
 * @param name what the bound speaks of
 * @param measured the figure of the run; NaN when a policy that it needs was not run
 * @param bound the stated bound
 * @param atMost true when the figure may be at most the bound, false when at least
 */
record Verdict(String scenario, String name, double measured, double bound, boolean atMost) {
    static final double MEASURING_BYTES_PER_SECOND = 3000;
    static final double PAID_LINK_BYTES_PER_SECOND = 37_500;

    /** Returns the verdicts on a scenario's own bounds and on the cost of measuring. */
    static List<Verdict> of(Scenario scenario, List<PolicyResult> results) {
        List<Verdict> verdicts = new ArrayList<>();
        Optional<PolicyResult> product = find(results, Policy.PRODUCT);
        if (product.isEmpty()) {
            return verdicts;
        }
        for (Bound bound : scenario.bounds()) {
            verdicts.add(of(scenario.name(), bound, product.get(), results));
        }
        verdicts.add(
                new Verdict(
                        scenario.name(),
                        "measuring_bytes_per_second_per_node",
                        product.get().measuringBytesPerSecond(),
                        MEASURING_BYTES_PER_SECOND,
                        true));
        verdicts.add(
                new Verdict(
                        scenario.name(),
                        "paid_link_measuring_bytes_per_second",
                        product.get().paidLinkBytesPerSecond(),
                        PAID_LINK_BYTES_PER_SECOND,
                        true));
        return verdicts;
    }

    private static Verdict of(
            String scenario, Bound bound, PolicyResult product, List<PolicyResult> results) {
        double measured =
                switch (bound.measure()) {
                    case P99_OF_TWO_CHOICES -> ratio(product, results, 99);
                    case P999_OF_TWO_CHOICES -> ratio(product, results, 99.9);
                    case GOODPUT_OF_CAPACITY -> product.goodput();
                };
        boolean atMost = bound.measure() != Measure.GOODPUT_OF_CAPACITY;
        String name = bound.measure().name().toLowerCase(Locale.ROOT);
        return new Verdict(scenario, name, measured, bound.value(), atMost);
    }

    private static double ratio(
            PolicyResult product, List<PolicyResult> results, double percentile) {
        return find(results, Policy.TWO_CHOICES)
                .map(other -> product.milliseconds(percentile) / other.milliseconds(percentile))
                .orElse(Double.NaN);
    }

    private static Optional<PolicyResult> find(List<PolicyResult> results, Policy policy) {
        return results.stream().filter(result -> result.policy() == policy).findFirst();
    }

    /** Returns met, missed, or not-measured. */
    String status() {
        if (Double.isNaN(measured)) {
            return "not-measured";
        }
        boolean met = atMost ? measured <= bound : measured >= bound;
        return met ? "met" : "missed";
    }

    /** Returns one line of key=value pairs. */
    String toLine() {
        return String.format(
                Locale.ROOT,
                "scenario=%s bound=%s measured=%.3f %s=%.3f verdict=%s",
                scenario,
                name,
                measured,
                atMost ? "at_most" : "at_least",
                bound,
                status());
    }
}
