package org.damaskmoor.core.load;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.damaskmoor.core.id.DataCentreName;
import org.damaskmoor.core.id.Incarnation;
import org.damaskmoor.core.id.NodeId;
import org.damaskmoor.core.id.RegionName;
import org.damaskmoor.core.id.ServiceName;
import org.damaskmoor.core.id.TargetId;
import org.damaskmoor.core.routing.Target;
import org.damaskmoor.schema.mesh.LoadReport;
import org.damaskmoor.schema.mesh.UpstreamState;
import org.junit.jupiter.api.Test;

class LoadMeasurementTest {
    private static final long SECOND = TimeUnit.SECONDS.toNanos(1);
    private static final RegionName HOME = new RegionName("mittelland");
    private static final RegionName FAR = new RegionName("oberland");
    private static final ServiceName SERVICE = new ServiceName("besuch");

    private static final List<MeasurementKind> KINDS = List.of(MeasurementKind.values());

    private record Spending(long atNanoseconds, int bytes) {}

    @Property(seed = "1")
    void should_never_spend_more_than_rate_and_burst_allow(
            @ForAll long seed, @ForAll @IntRange(max = 5000) int rate) {
        // given
        Random random = new Random(seed);
        long now = random.nextLong();
        MeasurementBudget budget = new MeasurementBudget(rate, now);
        List<Spending> spent = new ArrayList<>();

        // when
        for (int i = 0; i < 100; i++) {
            now += random.nextInt(200_000_000);
            MeasurementKind kind = KINDS.get(random.nextInt(KINDS.size()));
            int bytes = 1 + random.nextInt(500);
            if (budget.trySpend(kind, bytes, now)) {
                spent.add(new Spending(now, bytes));
            }
        }

        // then
        for (int from = 0; from < spent.size(); from++) {
            long sum = 0;
            for (Spending each : spent.subList(from, spent.size())) {
                sum += each.bytes;
                double span = each.atNanoseconds - spent.get(from).atNanoseconds;
                assertThat((double) sum).isAtMost(rate + rate * span / SECOND + 1e-6);
            }
        }
    }

    @Test
    void should_probe_only_silent_targets_of_the_local_region_while_the_service_is_in_use() {
        // given
        ProbePlanner planner = new ProbePlanner(HOME, new MeasurementBudget(100_000, 0));
        Target silent = target("quiet", HOME, UpstreamState.SERVING);
        Target busy = target("busy", HOME, UpstreamState.SERVING);
        Target far = target("far", FAR, UpstreamState.SERVING);
        Target leaving = target("leaving", HOME, UpstreamState.LEAVING);
        planner.updateTargets(List.of(silent, busy, far, leaving), 0);

        // when
        List<TargetId> unused = planner.plan(SECOND);
        planner.onRequest(SECOND);
        planner.onLoadReport(busy.id(), SECOND);
        List<TargetId> used = planner.plan(SECOND);
        List<TargetId> again = planner.plan(SECOND);
        List<TargetId> later = planner.plan(60 * SECOND);

        // then
        assertThat(unused).isEmpty();
        assertThat(used).containsExactly(silent.id());
        assertThat(again).isEmpty();
        assertThat(later).isEmpty();
    }

    @Test
    void should_keep_probes_of_a_large_service_within_the_budget() {
        // given
        MeasurementBudget budget = new MeasurementBudget(1024, 0);
        ProbePlanner planner = new ProbePlanner(HOME, budget);
        List<Target> targets = new ArrayList<>();
        for (int i = 0; i < 300; i++) {
            targets.add(target("node-" + i, HOME, UpstreamState.SERVING));
        }
        planner.updateTargets(targets, 0);

        // when
        for (int tenths = 1; tenths <= 600; tenths++) {
            long now = tenths * SECOND / 10;
            planner.onRequest(now);
            planner.plan(now);
        }

        // then
        assertThat(budget.spentBytes(MeasurementKind.PROBE)).isAtMost(61 * 1024);
        assertThat(budget.spentBytes(MeasurementKind.PROBE)).isAtLeast(59 * 1024);
        assertThat(budget.deniedBytes(MeasurementKind.PROBE)).isGreaterThan(0);
    }

    @Test
    void should_count_targets_without_fresh_reports_with_the_mean_of_the_others() {
        // given
        RegionSummarizer summaries = new RegionSummarizer(SERVICE, HOME);
        summaries.onLoadReport(id("stale"), report(10, 1000), 0);
        summaries.onLoadReport(id("a"), report(2, 4000), 3 * SECOND);
        summaries.onLoadReport(id("b"), report(4, 6000), 3 * SECOND);

        // when
        RegionSummary summary = summaries.summary(4, 3 * SECOND).orElseThrow();

        // then
        assertThat(summary).isEqualTo(new RegionSummary(SERVICE, HOME, 4, 12, 40, 5000));
    }

    @Test
    void should_send_a_summary_early_only_after_a_significant_change() {
        // given
        RegionSummarizer summaries = new RegionSummarizer(SERVICE, HOME);
        long interval = RegionSummarizer.MIN_INTERVAL_MILLISECONDS * SECOND / 1000;
        long longest = RegionSummarizer.MAX_INTERVAL_MILLISECONDS * SECOND / 1000;
        summaries.onLoadReport(id("a"), report(2, 5000), 0);

        // when
        boolean first = summaries.pollDue(1, 0).isPresent();
        summaries.onLoadReport(id("a"), report(9, 5000), 1);
        boolean tooSoon = summaries.pollDue(1, 1).isPresent();
        summaries.onLoadReport(id("a"), report(2, 5000), interval);
        boolean unchanged = summaries.pollDue(1, interval).isPresent();
        summaries.onLoadReport(id("a"), report(9, 5000), interval);
        boolean changed = summaries.pollDue(1, interval).isPresent();
        summaries.onLoadReport(id("a"), report(9, 5000), interval + longest);
        boolean refreshed = summaries.pollDue(1, interval + longest).isPresent();

        // then
        assertThat(List.of(first, tooSoon, unchanged, changed, refreshed))
                .containsExactly(true, false, false, true, true)
                .inOrder();
    }

    @Test
    void should_elect_the_same_sender_when_other_nodes_leave() {
        // given
        List<NodeId> nodes = new ArrayList<>();
        for (int i = 0; i < 20; i++) {
            nodes.add(new NodeId("node-" + i));
        }

        // when
        Optional<NodeId> sender = RegionSummarizer.electSender(SERVICE, nodes);
        nodes.removeIf(node -> !node.equals(sender.orElseThrow()) && node.value().endsWith("3"));

        // then
        assertThat(RegionSummarizer.electSender(SERVICE, nodes)).isEqualTo(sender);
    }

    private static TargetId id(String node) {
        return new TargetId(new NodeId(node), new Incarnation(1));
    }

    private static Target target(String node, RegionName region, UpstreamState state) {
        return new Target(id(node), region, new DataCentreName("centre"), state, 10);
    }

    private static LoadReport report(int inFlight, int latencyMicroseconds) {
        return LoadReport.newBuilder()
                .setInFlight(inFlight)
                .setLimit(10)
                .setLatencyMicroseconds(latencyMicroseconds)
                .build();
    }
}
