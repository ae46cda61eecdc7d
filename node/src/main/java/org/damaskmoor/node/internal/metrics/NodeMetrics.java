package org.damaskmoor.node.internal.metrics;

import com.codahale.metrics.MetricRegistry;
import com.google.common.flogger.FluentLogger;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.damaskmoor.core.atmostonce.UnknownOutcomeStep;
import org.damaskmoor.core.id.NodeId;
import org.damaskmoor.node.internal.entry.CallTemplate;
import org.damaskmoor.node.internal.entry.OutcomeListener;
import org.damaskmoor.node.internal.http.OutcomeReplies;
import org.damaskmoor.schema.mesh.RefusalReason;

/**
 * Counts request outcomes and logs refused and unknown ones. docs/OPERATIONS.md lists names and
 * units.
 *
 * <p>Thread-safe.
 */
public final class NodeMetrics implements OutcomeListener {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();

    private final MetricRegistry registry;
    private final LongSupplier clock;

    public NodeMetrics(MetricRegistry registry, LongSupplier clock) {
        this.registry = registry;
        this.clock = clock;
    }

    @Override
    public void onAnswered(CallTemplate template, int status) {
        registry.counter(NodeMetric.ANSWERED.metricName()).inc();
        registry.timer(NodeMetric.REQUEST_SECONDS.metricName())
                .update(clock.getAsLong() - template.arrivalNanoseconds(), TimeUnit.NANOSECONDS);
    }

    @Override
    public void onRefused(CallTemplate template, RefusalReason reason) {
        registry.counter(NodeMetric.REFUSED.withLabel("reason", OutcomeReplies.wireName(reason)))
                .inc();
        logger.atInfo().log(
                "event=request-refused service=%s caller=%s reason=%s",
                template.service(), template.caller(), OutcomeReplies.wireName(reason));
    }

    @Override
    public void onUnknown(CallTemplate template, UnknownOutcomeStep step, NodeId peer) {
        registry.counter(NodeMetric.UNKNOWN.metricName()).inc();
        logger.atWarning().log(
                "event=request-unknown service=%s caller=%s step=%s peer=%s",
                template.service(), template.caller(), step.wireName(), peer);
    }
}
