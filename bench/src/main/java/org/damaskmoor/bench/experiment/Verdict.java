package org.damaskmoor.bench.experiment;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import org.damaskmoor.bench.experiment.Scenario.Bound;
import org.damaskmoor.bench.experiment.Scenario.Measure;

/**
 * The measured figure for one bound, and whether the product meets the bound. Immutable.
 *
 * @param name name of the figure
 * @param measured the measured figure; NaN when it needs a policy that was not run
 * @param bound the required limit
 * @param atMost true when the bound is an upper limit, false when it is a lower limit
 */
record Verdict(String scenario, String name, double measured, double bound, boolean atMost) {
    static final double MAX_MEASURING_BYTES_PER_SECOND = 3000;
    static final double MAX_PAID_LINK_BYTES_PER_SECOND = 37_500;

    /** Returns the verdicts on the scenario's bounds and on the network cost of measuring load. */
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
                        MAX_MEASURING_BYTES_PER_SECOND,
                        true));
        verdicts.add(
                new Verdict(
                        scenario.name(),
                        "paid_link_measuring_bytes_per_second",
                        product.get().paidLinkBytesPerSecond(),
                        MAX_PAID_LINK_BYTES_PER_SECOND,
                        true));
        return verdicts;
    }

    private static Verdict of(
            String scenario, Bound bound, PolicyResult product, List<PolicyResult> results) {
        double measured =
                switch (bound.measure()) {
                    case P99_OF_TWO_CHOICES -> ratioToTwoChoices(product, results, 99);
                    case P999_OF_TWO_CHOICES -> ratioToTwoChoices(product, results, 99.9);
                    case GOODPUT_OF_CAPACITY -> product.goodput();
                };
        boolean atMost = bound.measure() != Measure.GOODPUT_OF_CAPACITY;
        String name = bound.measure().name().toLowerCase(Locale.ROOT);
        return new Verdict(scenario, name, measured, bound.value(), atMost);
    }

    private static double ratioToTwoChoices(
            PolicyResult product, List<PolicyResult> results, double percentile) {
        return find(results, Policy.TWO_CHOICES)
                .map(
                        reference ->
                                product.milliseconds(percentile)
                                        / reference.milliseconds(percentile))
                .orElse(Double.NaN);
    }

    private static Optional<PolicyResult> find(List<PolicyResult> results, Policy policy) {
        return results.stream().filter(result -> result.policy() == policy).findFirst();
    }

    /** Returns {@code met}, {@code missed} or {@code not-measured}. */
    String status() {
        if (Double.isNaN(measured)) {
            return "not-measured";
        }
        boolean met = atMost ? measured <= bound : measured >= bound;
        return met ? "met" : "missed";
    }

    /** Returns the verdict as one line of key=value pairs. */
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
