package org.damaskmoor.node.internal.metrics;

import static com.google.common.truth.Truth.assertThat;

import com.codahale.metrics.MetricRegistry;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;

final class NodeMetricTest {
    @Test
    void should_document_every_metric_on_the_operations_page() throws IOException {
        // given
        String page = Files.readString(Path.of("..", "docs", "OPERATIONS.md"));

        // then
        for (NodeMetric metric : NodeMetric.values()) {
            String row =
                    String.format(
                            "| `%s` | %s | %s |",
                            metric.metricName(),
                            metric.kind().name().toLowerCase(java.util.Locale.ROOT),
                            metric.description());
            assertThat(page).contains(row);
        }
    }

    @Test
    void should_escape_the_label_and_name_the_type_when_written() {
        // given
        MetricRegistry registry = new MetricRegistry();
        registry.counter(NodeMetric.REFUSED.withLabel("reason", "a\"b\\c\nd")).inc();

        // when
        String text = new MetricsFormatter(registry).toPrometheusText();

        // then
        assertThat(text).contains("# TYPE damaskmoor_requests_refused_total counter\n");
        assertThat(text).contains("_refused_total{reason=\"a\\\"b\\\\c\\nd\"} 1\n");
    }
}
