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
 * Drives writer, buddies, flusher and reconciler through random losses, duplicates, false and true
 * deaths and store failures, and compares with a plain count of the answered refusals.
 */
class AccountingSimulationTest {
    private static final long MILLISECOND = 1_000_000;
    private static final int STEPS = 3_000;
    private static final int MINUTE_STEPS = 400;
    private static final long FIRST_MINUTE = 59;

    /** The naive side: what was answered, by caller and reason. */
    private record Answered(String caller, RefusalReason reason) {}

    private static final class World {
        final SplittableRandom random;
        final NodeId owner = new NodeId("owner");
        final Map<String, ByteString> store = new TreeMap<>();
        final List<Runnable> network = new ArrayList<>();
        final Map<NodeId, RefusalReplica> buddies = new TreeMap<>();
        final Map<NodeId, ObjectWriteQueue> buddyQueues = new TreeMap<>();
        final Map<Answered, Long> stored = new HashMap<>();
        final List<CompletableFuture<Void>> answers = new ArrayList<>();
        final Map<Answered, Long> recorded = new HashMap<>();
        final Map<Answered, Long> all = new HashMap<>();
        final RefusalReplicator writer;
        final RefusalFlusher flusher;
        final Incarnation incarnation = new Incarnation(7);
        long now;
        long gapsAnswered;
        boolean storeDown;
        boolean networkDown;
        boolean ownerDead;

        World(long seed) {
            random = new SplittableRandom(seed);
            for (String name : List.of("buddy-a", "buddy-b", "buddy-c")) {
                buddies.put(new NodeId(name), new RefusalReplica(500, 200));
                buddyQueues.put(
                        new NodeId(name), new ObjectWriteQueue(10 * MILLISECOND, random.split()));
            }
            writer =
                    new RefusalReplicator(
                            owner,
                            incarnation,
                            RefusalReplicatorLimits.defaults(),
                            () -> List.copyOf(buddies.keySet()),
                            this::send,
                            random.split());
            flusher =
                    new RefusalFlusher(
                            writer,
                            new RefusalReplica(1, 1),
                            new ObjectWriteQueue(10 * MILLISECOND, random.split()),
                            200 * MILLISECOND,
                            random.split(),
                            now);
        }

        void send(NodeId peer, RefusalBatch batch) {
            deliver(() -> receive(peer, batch));
        }

        /** Loses one in eight and doubles one in eight; order between pairs is random too. */
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
            RefusalReplica buddy = buddies.get(peer);
            if (buddy == null) {
                return;
            }
            Optional<RefusalBatchStored> answer = buddy.onBatch(batch);
            answer.ifPresent(
                    stored ->
                            deliver(
                                    () -> {
                                        if (!ownerDead) {
                                            writer.onStored(peer, stored, now);
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
                    writer.record(refusal, now).thenAccept(durability -> answer(key, durability)));
        }

        void answer(Answered key, RefusalDurability durability) {
            all.merge(key, 1L, Long::sum);
            if (durability == RefusalDurability.STORED) {
                stored.merge(key, 1L, Long::sum);
            } else {
                gapsAnswered++;
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
                writer.tick(now);
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
            flushBuddies();
        }

        /** Fails when the store is down; may lose the answer after the effect. */
        boolean write(NamedObject object) {
            if (storeDown) {
                return false;
            }
            store.putIfAbsent(object.name(), object.content());
            return random.nextInt(4) != 0;
        }

        void flushBuddies() {
            buddies.forEach(
                    (name, buddy) -> {
                        ObjectWriteQueue queue = buddyQueues.get(name);
                        buddy.takeOrphaned()
                                .forEach(
                                        group ->
                                                queue.add(
                                                        RefusalObjects.of(group),
                                                        () -> buddy.onFlushed(group)));
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
        World world = new World(seed);

        // when: a buddy dies, owners are wrongly taken for dead, the owner stops as planned
        for (int i = 0; i < STEPS; i++) {
            world.step();
            if (i == STEPS / 2) {
                killBuddy(world);
            }
            if (world.random.nextInt(100) == 0) {
                world.buddies
                        .values()
                        .forEach(buddy -> buddy.onOwnerDown(world.owner, world.incarnation));
            }
        }
        stopAsPlanned(world);

        // then
        RefusalSummary summary = world.summarize();
        assertWithMessage("seed %s", seed).that(counts(summary)).isEqualTo(world.all);
        assertThat(summary.missing()).isEmpty();
        assertThat(summary.gaps().stream().mapToLong(RefusalSummary.Gap::count).sum())
                .isEqualTo(world.gapsAnswered);
    }

    @Property(tries = 60, seed = "2")
    void should_count_every_stored_refusal_when_the_owner_dies(
            @ForAll @LongRange(min = 0, max = 1_000_000) long seed) {
        // given
        World world = new World(seed);
        int death = 100 + world.random.nextInt(STEPS);
        for (int i = 0; i < death; i++) {
            world.step();
        }

        // when
        world.ownerDead = true;
        world.networkDown = false;
        world.buddies.values().forEach(buddy -> buddy.onOwnerDown(world.owner, world.incarnation));
        world.settle();

        // then: nothing stored is missing, and nothing counts twice
        Map<Answered, Long> counted = counts(world.summarize());
        for (Map.Entry<Answered, Long> entry : world.recorded.entrySet()) {
            long count = counted.getOrDefault(entry.getKey(), 0L);
            long stored = world.stored.getOrDefault(entry.getKey(), 0L);
            assertWithMessage("seed %s key %s", seed, entry.getKey())
                    .that(count)
                    .isIn(Range.closed(stored, entry.getValue()));
        }
    }

    private static void killBuddy(World world) {
        NodeId dead = world.buddies.keySet().iterator().next();
        world.buddies.remove(dead);
        world.writer.onPeerLost(dead, world.now);
    }

    private static void stopAsPlanned(World world) {
        world.storeDown = false;
        world.networkDown = false;
        for (int i = 0; i < 2_000; i++) {
            world.now += MILLISECOND;
            world.writer.tick(world.now);
            world.flusher.flush(world.now);
            world.flusher
                    .next(world.now)
                    .ifPresent(
                            object -> {
                                if (world.write(object)) {
                                    world.flusher.onWritten();
                                } else {
                                    world.flusher.onFailed(world.now);
                                }
                            });
            world.flushBuddies();
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
