package org.damaskmoor.bench.micro;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.damaskmoor.core.id.DataCentreName;
import org.damaskmoor.core.id.Incarnation;
import org.damaskmoor.core.id.NodeId;
import org.damaskmoor.core.id.RegionName;
import org.damaskmoor.core.id.TargetId;
import org.damaskmoor.core.routing.Choice;
import org.damaskmoor.core.routing.ChoicePolicies;
import org.damaskmoor.core.routing.Router;
import org.damaskmoor.core.routing.RoutingOptions;
import org.damaskmoor.core.routing.RoutingRequest;
import org.damaskmoor.core.routing.Target;
import org.damaskmoor.schema.mesh.LoadReport;
import org.damaskmoor.schema.mesh.UpstreamState;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;

/**
 * Measures the choice of a target, alone and in a full cycle of choice, send and answer.
 *
 * <p>Run with {@code java -cp ... org.openjdk.jmh.Main ChoiceBenchmark -prof gc}; each thread has
 * its own router.
 */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 5, time = 1)
@Fork(1)
public class ChoiceBenchmark {
    private static final long CYCLE_NANOSECONDS = 20_000;
    private static final long LATENCY_NANOSECONDS = 5_000_000;
    private static final int CAPACITY = 10;

    @Param({"40", "300"})
    private int candidates;

    private final RoutingRequest request = new RoutingRequest(false, TimeUnit.SECONDS.toNanos(5));
    private Router router;
    private LoadReport report;
    private long now;

    /** Creates a router with half of the targets in the own data centre, all half loaded. */
    @Setup
    public void setUp() {
        router =
                Router.create(
                        new RegionName("mittelland"),
                        new DataCentreName("bern-nord"),
                        RoutingOptions.DEFAULT,
                        ChoicePolicies.expectedCompletion(4),
                        new SplittableRandom(1));
        report =
                LoadReport.newBuilder()
                        .setInFlight(CAPACITY / 2)
                        .setLimit(CAPACITY)
                        .setLatencyMicroseconds(5000)
                        .setState(UpstreamState.SERVING)
                        .build();
        List<Target> targets = targets();
        router.updateTargets(targets, now);
        targets.forEach(target -> router.onLoadReport(target.id(), report, now));
        targets.forEach(target -> router.onSent(target.id(), now));
    }

    /** Chooses a target. */
    @Benchmark
    public Optional<Choice> choose() {
        now += CYCLE_NANOSECONDS;
        return router.choose(request, Set.of(), now);
    }

    /** Chooses a target, sends a request to it and records the answer. */
    @Benchmark
    public Optional<Choice> chooseSendAnswer() {
        now += CYCLE_NANOSECONDS;
        Optional<Choice> choice = router.choose(request, Set.of(), now);
        TargetId target = choice.orElseThrow().target().id();
        router.onSent(target, now);
        router.onAnswered(target, LATENCY_NANOSECONDS, report, now + LATENCY_NANOSECONDS);
        return choice;
    }

    private List<Target> targets() {
        List<Target> targets = new ArrayList<>();
        for (int i = 0; i < candidates; i++) {
            TargetId id = new TargetId(new NodeId("node-" + i), new Incarnation(1));
            DataCentreName dataCentre = new DataCentreName(i % 2 == 0 ? "bern-nord" : "bern-sued");
            targets.add(
                    new Target(
                            id,
                            new RegionName("mittelland"),
                            dataCentre,
                            UpstreamState.SERVING,
                            CAPACITY));
        }
        return targets;
    }
}
