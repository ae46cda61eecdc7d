package org.damaskmoor.bench.demo;

import com.google.protobuf.Struct;
import com.google.protobuf.Value;
import com.google.protobuf.util.JsonFormat;
import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import org.damaskmoor.bench.http.BlockingClient;

/**
 * Reads the bytes sent to measure load from the metrics of running nodes. The bytes of a killed
 * node are not included, because its counters are lost. Immutable.
 */
final class MetricMeasuringBytes implements MeasuringBytes {
    private static final String METRIC = "damaskmoor_measuring_bytes_total";

    private final BlockingClient client;

    MetricMeasuringBytes(BlockingClient client) {
        this.client = client;
    }

    @Override
    public OptionalLong sum(List<String> controlUrls) {
        long sum = 0;
        int nodesRead = 0;
        for (String url : controlUrls) {
            OptionalLong bytes = read(url);
            sum += bytes.orElse(0);
            nodesRead += bytes.isPresent() ? 1 : 0;
        }
        return nodesRead == 0 ? OptionalLong.empty() : OptionalLong.of(sum);
    }

    private OptionalLong read(String controlUrl) {
        try {
            Struct.Builder metrics = Struct.newBuilder();
            String text = client.get(controlUrl + "/metrics.json").body().toStringUtf8();
            JsonFormat.parser().merge(text, metrics);
            return OptionalLong.of(sum(metrics.getFieldsMap()));
        } catch (IOException unreachable) {
            return OptionalLong.empty();
        }
    }

    private static long sum(Map<String, Value> metrics) {
        double sum = 0;
        for (Map.Entry<String, Value> metric : metrics.entrySet()) {
            if (metric.getKey().startsWith(METRIC)) {
                sum += metric.getValue().getNumberValue();
            }
        }
        return (long) sum;
    }
}
