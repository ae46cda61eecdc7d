package org.damaskmoor.bench.experiment;

import java.util.List;
import java.util.Locale;
import org.damaskmoor.bench.http.JsonObject;

/** Formats results as a text table and as JSON lines. Stateless and thread-safe. */
final class ResultTable {
    private ResultTable() {}

    /** Returns the results of one scenario as a table. */
    static String formatTable(List<PolicyResult> results) {
        StringBuilder text = new StringBuilder();
        text.append(
                String.format(
                        Locale.ROOT,
                        "%-18s %-18s %8s %8s %8s %9s %9s %8s %7s %7s %7s %8s %7s %8s %7s%n",
                        "scenario",
                        "policy",
                        "p50_ms",
                        "p99_ms",
                        "p99.9_ms",
                        "look99.9",
                        "book_p99",
                        "answered",
                        "refused",
                        "failed",
                        "unknown",
                        "goodput",
                        "extra",
                        "B/s/node",
                        "loadavg"));
        results.forEach(result -> text.append(formatRow(result)));
        results.forEach(result -> text.append(formatFailures(result)));
        return text.toString();
    }

    private static String formatFailures(PolicyResult result) {
        return String.format(
                "without_answer policy=%s %s%n",
                result.policy().label(), result.statistics().failuresByReason());
    }

    private static String formatRow(PolicyResult result) {
        return String.format(
                Locale.ROOT,
                "%-18s %-18s %8.2f %8.2f %8.2f %9.2f %9.2f"
                        + " %8d %7d %7d %7d %8.3f %7d %8.0f %7.1f%n",
                result.scenario(),
                result.policy().label(),
                result.milliseconds(50),
                result.milliseconds(99),
                result.milliseconds(99.9),
                result.lookupMilliseconds(99.9),
                result.bookingMilliseconds(99),
                result.statistics().answered(),
                result.statistics().refused(),
                result.statistics().failed(),
                result.statistics().unknown(),
                result.goodput(),
                result.retriesAndHedges(),
                result.measuringBytesPerSecond(),
                result.loadAverage());
    }

    /** Returns the figures that each of the two users rates, the most important first. */
    static String formatUserViews(List<PolicyResult> results) {
        StringBuilder text = new StringBuilder();
        for (PolicyResult result : results) {
            text.append(
                    String.format(
                            Locale.ROOT,
                            "view=bern policy=%s p999_ms=%.2f p99_ms=%.2f booking_p99_ms=%.2f"
                                    + " measuring_bytes_per_second_per_node=%.0f%n",
                            result.policy().label(),
                            result.milliseconds(99.9),
                            result.milliseconds(99),
                            result.bookingMilliseconds(99),
                            result.measuringBytesPerSecond()));
            text.append(
                    String.format(
                            Locale.ROOT,
                            "view=cotizar-granito policy=%s"
                                    + " measuring_bytes_per_weighted_answer=%.2f"
                                    + " paid_link_bytes_per_second=%.0f"
                                    + " weighted_answers_per_second=%.0f p99_ms=%.2f%n",
                            result.policy().label(),
                            result.measuringBytesPerWeightedAnswer(),
                            result.paidLinkBytesPerSecond(),
                            result.weightedAnswersPerSecond(),
                            result.milliseconds(99)));
        }
        return text.toString();
    }

    /** Returns all figures of a result as one JSON object. */
    static String toJson(PolicyResult result) {
        return new JsonObject()
                .with("scenario", result.scenario())
                .with("policy", result.policy().label())
                .with("seconds", result.seconds())
                .with("sent", result.statistics().sent())
                .with("p50_ms", result.milliseconds(50))
                .with("p99_ms", result.milliseconds(99))
                .with("p999_ms", result.milliseconds(99.9))
                .with("lookup_p999_ms", result.lookupMilliseconds(99.9))
                .with("booking_p99_ms", result.bookingMilliseconds(99))
                .with("answered", result.statistics().answered())
                .with("refused", result.statistics().refused())
                .with("failed", result.statistics().failed())
                .with("unknown", result.statistics().unknown())
                .with("goodput", result.goodput())
                .with("weighted_answers_per_second", result.weightedAnswersPerSecond())
                .with("further_attempts", result.retriesAndHedges())
                .with("measuring_bytes_per_second_per_node", result.measuringBytesPerSecond())
                .with("paid_link_bytes_per_second", result.paidLinkBytesPerSecond())
                .with("load_average", result.loadAverage())
                .toString();
    }
}
