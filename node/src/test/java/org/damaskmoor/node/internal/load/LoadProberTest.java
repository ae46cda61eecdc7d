package org.damaskmoor.node.internal.load;

import static com.google.common.truth.Truth.assertThat;

import com.codahale.metrics.MetricRegistry;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.damaskmoor.core.id.DataCentreName;
import org.damaskmoor.core.id.Incarnation;
import org.damaskmoor.core.id.NodeId;
import org.damaskmoor.core.id.RegionName;
import org.damaskmoor.core.id.ServiceName;
import org.damaskmoor.core.id.TargetId;
import org.damaskmoor.core.load.ProbePlanner;
import org.damaskmoor.core.routing.ChoicePolicies;
import org.damaskmoor.core.routing.Router;
import org.damaskmoor.core.routing.RoutingOptions;
import org.damaskmoor.core.routing.Target;
import org.damaskmoor.schema.mesh.LoadReport;
import org.damaskmoor.schema.mesh.UpstreamState;
import org.junit.jupiter.api.Test;

class LoadProberTest {
    private static final RegionName REGION = new RegionName("mittelland");
    private static final DataCentreName DATA_CENTRE = new DataCentreName("bern-nord");
    private static final NodeId SELF = new NodeId("node-0");
    private static final long BYTES_PER_SECOND = 1024;
    private static final int SECONDS = 20;

    private final MetricRegistry metrics = new MetricRegistry();
    private final MeasurementCounters counters = new MeasurementCounters(metrics);
    private final List<NodeId> probed = new ArrayList<>();
    private long now = TimeUnit.SECONDS.toNanos(1);

    @Test
    void should_probe_other_targets_within_budget_when_no_response_reports_their_load() {
        // given
        LoadProber prober =
                new LoadProber(
                        SELF,
                        REGION,
                        BYTES_PER_SECOND,
                        counters,
                        (node, frame) -> probed.add(node),
                        () -> now);
        List<Target> targets = IntStream.range(0, 30).mapToObj(LoadProberTest::target).toList();
        Router router = prober.wrap(new ServiceName("besuch"), router());
        router.updateTargets(targets, now);

        // when
        for (int tick = 0; tick < SECONDS * 10; tick++) {
            router.onSent(targets.get(0).id(), now);
            prober.tick();
            now += TimeUnit.MILLISECONDS.toNanos(LoadProber.TICK_MILLISECONDS);
        }

        // then
        long spent = (long) probed.size() * ProbePlanner.PROBE_BYTES;
        assertThat(spent).isAtMost(BYTES_PER_SECOND * (SECONDS + 1));
        assertThat(probed).doesNotContain(SELF);
        assertThat(probed.stream().distinct().count()).isEqualTo(29);
        assertThat(counterValue("damaskmoor_measuring_bytes_total{kind=\"probe\"}"))
                .isEqualTo(spent);
    }

    @Test
    void should_send_reports_within_budget_and_empty_ones_beyond_it() {
        // given
        LoadReportLimiter limiter =
                new LoadReportLimiter(SELF, peer -> true, BYTES_PER_SECOND, counters, () -> now);
        LoadReport report = LoadReport.newBuilder().setInFlight(5).setLimit(10).build();

        // when
        int sent = 0;
        for (int i = 0; i < 10_000; i++) {
            LoadReport sentReport = limiter.reportFor(new NodeId("other"), report);
            sent += sentReport.equals(report) ? 1 : 0;
        }

        // then
        long budget = LoadReportLimiter.MEASURING_BYTES_PER_SECOND - BYTES_PER_SECOND;
        assertThat(sent).isGreaterThan(0);
        assertThat(counterValue("damaskmoor_measuring_bytes_total{kind=\"report\"}"))
                .isAtMost(budget);
        assertThat(counterValue("damaskmoor_paid_link_measuring_bytes_total{kind=\"report\"}"))
                .isAtMost(budget);
        assertThat(limiter.reportFor(SELF, report)).isEqualTo(report);
    }

    private long counterValue(String name) {
        return metrics.counter(name).getCount();
    }

    private static Target target(int number) {
        TargetId id = new TargetId(new NodeId("node-" + number), new Incarnation(1));
        return new Target(id, REGION, DATA_CENTRE, UpstreamState.SERVING, 10);
    }

    private static Router router() {
        return Router.create(
                REGION,
                DATA_CENTRE,
                RoutingOptions.DEFAULT,
                ChoicePolicies.expectedCompletion(4),
                new Random(1));
    }
}
