package org.damaskmoor.bench.capacity;

import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.damaskmoor.core.accounting.Refusal;
import org.damaskmoor.core.accounting.RefusalReplicator;
import org.damaskmoor.core.accounting.RefusalReplicatorLimits;
import org.damaskmoor.core.atmostonce.CallKey;
import org.damaskmoor.core.atmostonce.LedgerLimits;
import org.damaskmoor.core.atmostonce.TargetLedger;
import org.damaskmoor.core.configuration.ConfigurationStore;
import org.damaskmoor.core.configuration.ServiceMatcher;
import org.damaskmoor.core.id.CallerName;
import org.damaskmoor.core.id.DataCentreName;
import org.damaskmoor.core.id.Incarnation;
import org.damaskmoor.core.id.NodeId;
import org.damaskmoor.core.id.RegionName;
import org.damaskmoor.core.id.RequestId;
import org.damaskmoor.core.id.ServiceName;
import org.damaskmoor.core.id.TargetId;
import org.damaskmoor.core.routing.ChoicePolicies;
import org.damaskmoor.core.routing.Router;
import org.damaskmoor.core.routing.RoutingOptions;
import org.damaskmoor.core.routing.RoutingRequest;
import org.damaskmoor.core.routing.Target;
import org.damaskmoor.node.internal.members.MemberDirectory;
import org.damaskmoor.schema.configuration.RequestRule;
import org.damaskmoor.schema.configuration.ServiceConfiguration;
import org.damaskmoor.schema.configuration.VersionedConfiguration;
import org.damaskmoor.schema.gossip.MemberRecord;
import org.damaskmoor.schema.gossip.MemberState;
import org.damaskmoor.schema.mesh.RefusalReason;
import org.damaskmoor.schema.mesh.UpstreamState;

/** Measures the memory and time per unit of each part of a node's state. Stateless. */
final class StateCosts {
    private static final int BASELINE_UNITS = 100;
    private static final int MEMBERS = 2_800;
    private static final int SERVICES = 340;
    private static final int TARGETS = 1_000;
    private static final int CALLS = 20_000;
    private static final int REFUSAL_KEYS = 2_000;
    private static final int WARM_UP_RUNS = 2_000;
    private static final int MEASURED_RUNS = 2_000;
    private static final long MINUTE_NANOSECONDS = TimeUnit.MINUTES.toNanos(1);

    private StateCosts() {}

    static String directory() {
        List<MemberRecord> members = members(MEMBERS);
        MemberDirectory directory = new MemberDirectory();
        double meanMicroseconds = meanMicroseconds(() -> directory.publish(members));
        double bytes =
                HeapMeter.bytesPerUnit(
                        BASELINE_UNITS,
                        MEMBERS,
                        units -> {
                            MemberDirectory measured = new MemberDirectory();
                            measured.publish(members(units));
                            return measured;
                        });
        return format("directory", MEMBERS, bytes, "publish_us", meanMicroseconds);
    }

    static String configuration() {
        double bytes =
                HeapMeter.bytesPerUnit(BASELINE_UNITS, SERVICES, StateCosts::filledConfiguration);
        List<VersionedConfiguration> all = configurations(SERVICES);
        double meanMicroseconds = meanMicroseconds(() -> ServiceMatcher.of(all));
        return format("service", SERVICES, bytes, "matcher_us", meanMicroseconds);
    }

    static String router() {
        double bytes = HeapMeter.bytesPerUnit(BASELINE_UNITS, TARGETS, StateCosts::filledRouter);
        Router router = filledRouter(TARGETS);
        RoutingRequest request = new RoutingRequest(false, TimeUnit.SECONDS.toNanos(1));
        double meanMicroseconds = meanMicroseconds(() -> router.choose(request, Set.of(), 1));
        return format("target", TARGETS, bytes, "choice_us", meanMicroseconds);
    }

    static String ledger() {
        double bytes = HeapMeter.bytesPerUnit(BASELINE_UNITS, CALLS, StateCosts::filledLedger);
        return format("remembered_call", CALLS, bytes, "answer_bytes", 0);
    }

    static String refusals() {
        double bytes =
                HeapMeter.bytesPerUnit(BASELINE_UNITS, REFUSAL_KEYS, StateCosts::filledReplicator);
        return format("refusal_key", REFUSAL_KEYS, bytes, "keys_per_node_most", 4_096);
    }

    private static String format(
            String unit, int count, double bytes, String timeName, double value) {
        return String.format(
                Locale.ROOT,
                "state unit=%s measured_at=%d bytes_per_unit=%.0f %s=%.1f",
                unit,
                count,
                bytes,
                timeName,
                value);
    }

    /** Returns the mean time of a task after a warm-up. */
    private static double meanMicroseconds(Runnable task) {
        for (int i = 0; i < WARM_UP_RUNS; i++) {
            task.run();
        }
        long start = System.nanoTime();
        for (int i = 0; i < MEASURED_RUNS; i++) {
            task.run();
        }
        return (System.nanoTime() - start) / 1e3 / MEASURED_RUNS;
    }

    private static List<MemberRecord> members(int count) {
        List<MemberRecord> members = new ArrayList<>(count);
        for (int i = 0; i < count; i++) {
            members.add(
                    MemberRecord.newBuilder()
                            .setNodeId("node-" + i)
                            .setIncarnation(1_700_000_000_000L + i)
                            .setState(MemberState.ALIVE)
                            .setRegion("region-" + i % 4)
                            .setDataCentre("data-centre-" + i % 15)
                            .setAddress("127.0.0.1")
                            .setMeshPort(1 + i)
                            .setGossipPort(1 + i)
                            .setService("service-" + i % SERVICES)
                            .setUpstreamState(UpstreamState.SERVING_VALUE)
                            .setCapacity(10)
                            .build());
        }
        return members;
    }

    private static Object filledConfiguration(int services) {
        ConfigurationStore store = new ConfigurationStore(accepted -> {});
        configurations(services).forEach(store::accept);
        return List.of(store, ServiceMatcher.of(store.all()));
    }

    private static List<VersionedConfiguration> configurations(int count) {
        List<VersionedConfiguration> configurations = new ArrayList<>(count);
        for (int i = 0; i < count; i++) {
            ServiceConfiguration.Builder service =
                    ServiceConfiguration.newBuilder()
                            .setName("service-" + i)
                            .addHosts("service-" + i + ".example")
                            .addPathPrefixes("/service-" + i);
            for (int rule = 0; rule < 5; rule++) {
                service.addRules(
                        RequestRule.newBuilder()
                                .setName("rule-" + rule)
                                .addMethods("POST")
                                .setPathPrefix("/service-" + i + "/" + rule)
                                .addAllowedCallers("caller-" + rule));
            }
            configurations.add(
                    VersionedConfiguration.newBuilder().setService(service).setVersion(1).build());
        }
        return configurations;
    }

    private static Router filledRouter(int targets) {
        Router router =
                Router.create(
                        new RegionName("region-0"),
                        new DataCentreName("data-centre-0"),
                        RoutingOptions.DEFAULT,
                        ChoicePolicies.expectedCompletion(4),
                        new SplittableRandom(1));
        List<Target> all = new ArrayList<>(targets);
        for (int i = 0; i < targets; i++) {
            all.add(
                    new Target(
                            new TargetId(new NodeId("node-" + i), new Incarnation(1 + i)),
                            new RegionName("region-0"),
                            new DataCentreName("data-centre-" + i % 4),
                            UpstreamState.SERVING,
                            10));
        }
        router.updateTargets(all, 0);
        return router;
    }

    private static Object filledLedger(int calls) {
        Incarnation own = new Incarnation(1);
        TargetLedger ledger =
                TargetLedger.bounded(own, new LedgerLimits(2 * CALLS, 8_000_000, 4_096));
        for (int i = 0; i < calls; i++) {
            RequestId id = new RequestId(new NodeId("node-" + i % MEMBERS), own, i);
            CallKey key = new CallKey(id, Optional.empty());
            ledger.accept(key, own, MINUTE_NANOSECONDS, 2 * MINUTE_NANOSECONDS, 0);
            ledger.handOver(id, 0);
            ledger.answered(id, ByteString.EMPTY);
        }
        return ledger;
    }

    private static Object filledReplicator(int keys) {
        RefusalReplicator writer =
                new RefusalReplicator(
                        new NodeId("node-1"),
                        new Incarnation(1),
                        RefusalReplicatorLimits.defaults(),
                        List::of,
                        (peer, batch) -> {},
                        new SplittableRandom(1));
        List<Object> retained = new ArrayList<>(List.of(writer));
        for (int i = 0; i < keys; i++) {
            retained.add(writer.record(refusal(i), i));
        }
        return retained;
    }

    private static Refusal refusal(int index) {
        return new Refusal(
                new ServiceName("service-" + index % SERVICES),
                new CallerName("caller-" + index),
                RefusalReason.QUEUE_FULL,
                1,
                1);
    }
}
