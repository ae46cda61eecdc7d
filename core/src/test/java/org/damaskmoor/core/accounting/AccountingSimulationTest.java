package org.damaskmoor.core.accounting;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import com.google.common.collect.Range;
import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.damaskmoor.core.id.CallerName;
import org.damaskmoor.core.id.Incarnation;
import org.damaskmoor.core.id.NodeId;
import org.damaskmoor.core.id.ServiceName;
import org.damaskmoor.schema.accounting.RefusalObject;
import org.damaskmoor.schema.mesh.RefusalBatch;
import org.damaskmoor.schema.mesh.RefusalBatchStored;
import org.damaskmoor.schema.mesh.RefusalReason;

/**
 * Runs replicator, replicas, flusher and reconciler with random message losses, duplicates, real
 * and wrongly detected deaths and store failures, and compares the sums with a plain count of the
 * answered refusals.
 */
class AccountingSimulationTest {
    private static final long MILLISECOND = 1_000_000;
    private static final int STEPS = 3_000;
    private static final int MINUTE_STEPS = 400;
    private static final long FIRST_MINUTE = 59;

    /** Key of the expected counts of answered refusals. */
    private record Answered(String caller, RefusalReason reason) {}

    private static final class Simulation {
        final SplittableRandom random;
        final NodeId owner = new NodeId("owner");
        final Map<String, ByteString> store = new TreeMap<>();
        final List<Runnable> network = new ArrayList<>();
        final Map<NodeId, RefusalReplica> replicas = new TreeMap<>();
        final Map<NodeId, ObjectWriteQueue> replicaQueues = new TreeMap<>();
        final Map<Answered, Long> stored = new HashMap<>();
        final List<CompletableFuture<Void>> answers = new ArrayList<>();
        final Map<Answered, Long> recorded = new HashMap<>();
        final Map<Answered, Long> answered = new HashMap<>();
        final RefusalReplicator replicator;
        final RefusalFlusher flusher;
        final Incarnation incarnation = new Incarnation(7);
        long now;
        long answeredWithGap;
        boolean storeDown;
        boolean networkDown;
        boolean ownerDead;

        Simulation(long seed) {
            random = new SplittableRandom(seed);
            for (String name : List.of("buddy-a", "buddy-b", "buddy-c")) {
                replicas.put(new NodeId(name), new RefusalReplica(500, 200));
                replicaQueues.put(
                        new NodeId(name), new ObjectWriteQueue(10 * MILLISECOND, random.split()));
            }
            replicator =
                    new RefusalReplicator(
                            owner,
                            incarnation,
                            RefusalReplicatorLimits.defaults(),
                            () -> List.copyOf(replicas.keySet()),
                            this::send,
                            random.split());
            flusher =
                    new RefusalFlusher(
                            replicator,
                            new RefusalReplica(1, 1),
                            new ObjectWriteQueue(10 * MILLISECOND, random.split()),
                            200 * MILLISECOND,
                            random.split(),
                            now);
        }

        void send(NodeId peer, RefusalBatch batch) {
            deliver(() -> receive(peer, batch));
        }

        /**
         * Loses one message in eight and duplicates one in eight; {@link #step} also reorders them.
         */
        void deliver(Runnable message) {
            int copies = networkDown ? 0 : random.nextInt(8);
            if (copies == 0) {
                return;
            }
            network.add(message);
            if (copies == 1) {
                network.add(message);
            }
        }

        void receive(NodeId peer, RefusalBatch batch) {
            RefusalReplica replica = replicas.get(peer);
            if (replica == null) {
                return;
            }
            Optional<RefusalBatchStored> answer = replica.onBatch(batch);
            answer.ifPresent(
                    stored ->
                            deliver(
                                    () -> {
                                        if (!ownerDead) {
                                            replicator.onStored(peer, stored, now);
                                        }
                                    }));
        }

        void refuse() {
            Answered key =
                    new Answered(
                            "caller-" + random.nextInt(3),
                            random.nextBoolean()
                                    ? RefusalReason.QUEUE_FULL
                                    : RefusalReason.OVERLOADED);
            Refusal refusal =
                    new Refusal(
                            new ServiceName("besuch"),
                            new CallerName(key.caller()),
                            key.reason(),
                            FIRST_MINUTE + now / MILLISECOND / MINUTE_STEPS,
                            2);
            recorded.merge(key, 1L, Long::sum);
            answers.add(
                    replicator
                            .record(refusal, now)
                            .thenAccept(durability -> answer(key, durability)));
        }

        void answer(Answered key, RefusalDurability durability) {
            answered.merge(key, 1L, Long::sum);
            if (durability == RefusalDurability.STORED) {
                stored.merge(key, 1L, Long::sum);
            } else {
                answeredWithGap++;
            }
        }

        void step() {
            now += MILLISECOND;
            storeDown = random.nextInt(50) == 0 ? !storeDown : storeDown;
            networkDown = random.nextInt(400) == 0 ? !networkDown : networkDown;
            if (!ownerDead) {
                for (int i = random.nextInt(4); i > 0; i--) {
                    refuse();
                }
                replicator.tick(now);
                flusher.tick(now);
                flusher.next(now)
                        .ifPresent(
                                object -> {
                                    if (write(object)) {
                                        flusher.onWritten();
                                    } else {
                                        flusher.onFailed(now);
                                    }
                                });
            }
            for (int i = random.nextInt(6); i > 0 && !network.isEmpty(); i--) {
                network.remove(random.nextInt(Math.min(3, network.size()))).run();
            }
            flushReplicas();
        }

        /**
         * Fails when the store is down; one response in four is lost after the write took effect.
         */
        boolean write(NamedObject object) {
            if (storeDown) {
                return false;
            }
            store.putIfAbsent(object.name(), object.content());
            return random.nextInt(4) != 0;
        }

        void flushReplicas() {
            replicas.forEach(
                    (name, replica) -> {
                        ObjectWriteQueue queue = replicaQueues.get(name);
                        replica.takeOrphaned()
                                .forEach(
                                        group ->
                                                queue.add(
                                                        RefusalObjects.of(group),
                                                        () -> replica.onFlushed(group)));
                        queue.next(now)
                                .ifPresent(
                                        object -> {
                                            if (write(object)) {
                                                queue.onWritten();
                                            } else {
                                                queue.onFailed(now);
                                            }
                                        });
                    });
        }

        void settle() {
            storeDown = false;
            for (int i = 0; i < 2_000; i++) {
                step();
            }
        }

        RefusalSummary summarize() {
            RefusalReconciler reconciler = new RefusalReconciler(0, Long.MAX_VALUE);
            store.values().forEach(bytes -> reconciler.add(parse(bytes)));
            return reconciler.summarize();
        }

        private static RefusalObject parse(ByteString bytes) {
            try {
                return RefusalObject.parseFrom(bytes);
            } catch (InvalidProtocolBufferException malformed) {
                throw new AssertionError(malformed);
            }
        }
    }

    @Property(tries = 60, seed = "1")
    void should_count_every_refusal_once_when_the_owner_survives(
            @ForAll @LongRange(min = 0, max = 1_000_000) long seed) {
        // given
        Simulation simulation = new Simulation(seed);

        // when: a replica dies, the owner is wrongly considered dead, the owner stops as planned
        for (int i = 0; i < STEPS; i++) {
            simulation.step();
            if (i == STEPS / 2) {
                killReplica(simulation);
            }
            if (simulation.random.nextInt(100) == 0) {
                simulation
                        .replicas
                        .values()
                        .forEach(
                                replica ->
                                        replica.onOwnerDown(
                                                simulation.owner, simulation.incarnation));
            }
        }
        stopAsPlanned(simulation);

        // then
        RefusalSummary summary = simulation.summarize();
        assertWithMessage("seed %s", seed).that(counts(summary)).isEqualTo(simulation.answered);
        assertThat(summary.missing()).isEmpty();
        assertThat(summary.gaps().stream().mapToLong(RefusalSummary.Gap::count).sum())
                .isEqualTo(simulation.answeredWithGap);
    }

    @Property(tries = 60, seed = "2")
    void should_count_every_stored_refusal_when_the_owner_dies(
            @ForAll @LongRange(min = 0, max = 1_000_000) long seed) {
        // given
        Simulation simulation = new Simulation(seed);
        int death = 100 + simulation.random.nextInt(STEPS);
        for (int i = 0; i < death; i++) {
            simulation.step();
        }

        // when
        simulation.ownerDead = true;
        simulation.networkDown = false;
        simulation
                .replicas
                .values()
                .forEach(replica -> replica.onOwnerDown(simulation.owner, simulation.incarnation));
        simulation.settle();

        // then: nothing stored is missing, and nothing counts twice
        Map<Answered, Long> counted = counts(simulation.summarize());
        for (Map.Entry<Answered, Long> entry : simulation.recorded.entrySet()) {
            long count = counted.getOrDefault(entry.getKey(), 0L);
            long stored = simulation.stored.getOrDefault(entry.getKey(), 0L);
            assertWithMessage("seed %s key %s", seed, entry.getKey())
                    .that(count)
                    .isIn(Range.closed(stored, entry.getValue()));
        }
    }

    private static void killReplica(Simulation simulation) {
        NodeId dead = simulation.replicas.keySet().iterator().next();
        simulation.replicas.remove(dead);
        simulation.replicator.onPeerLost(dead, simulation.now);
    }

    private static void stopAsPlanned(Simulation simulation) {
        simulation.storeDown = false;
        simulation.networkDown = false;
        for (int i = 0; i < 2_000; i++) {
            simulation.now += MILLISECOND;
            simulation.replicator.tick(simulation.now);
            simulation.flusher.flush(simulation.now);
            simulation
                    .flusher
                    .next(simulation.now)
                    .ifPresent(
                            object -> {
                                if (simulation.write(object)) {
                                    simulation.flusher.onWritten();
                                } else {
                                    simulation.flusher.onFailed(simulation.now);
                                }
                            });
            simulation.flushReplicas();
        }
    }

    private static Map<Answered, Long> counts(RefusalSummary summary) {
        Map<Answered, Long> counts = new HashMap<>();
        summary.lines()
                .forEach(
                        line ->
                                counts.merge(
                                        new Answered(line.key().caller(), line.key().reason()),
                                        line.count(),
                                        Long::sum));
        return counts;
    }
}
