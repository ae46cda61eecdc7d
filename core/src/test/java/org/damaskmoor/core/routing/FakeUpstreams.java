package org.damaskmoor.core.routing;

import static org.damaskmoor.core.routing.RouterFixture.REQUEST;

import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.OptionalLong;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;
import org.damaskmoor.core.id.NodeId;
import org.damaskmoor.core.id.TargetId;
import org.damaskmoor.core.retry.HedgePolicy;
import org.damaskmoor.core.retry.RetryBudget;
import org.damaskmoor.schema.mesh.LoadReport;
import org.damaskmoor.schema.mesh.UpstreamState;

/**
 * Simulated upstreams with ten slots and service times of 2.5 to 7.5 ms, driven by one router under
 * open-loop load.
 */
final class FakeUpstreams {
    private static final int SLOTS = 10;
    private static final long FAILURE = 1000 * RouterFixture.MILLISECOND;
    private static final double SERVICE_NANOSECONDS = 5e6;

    /** Factor on an upstream's service time at an instant; 0 makes it fail immediately. */
    interface Slowness {
        double of(int upstream, long nowNanoseconds);
    }

    /** The end of an attempt, or the time at which its request is hedged. */
    private record Event(long at, int upstream, long sentAt, int request, Kind kind) {}

    private enum Kind {
        ANSWER,
        FAILURE,
        HEDGE
    }

    private final Random random;
    private final RouterFixture fixture;
    private final List<Target> targets;
    private final Slowness slowness;
    private final long[][] slotFreeAt;
    private final int[] inFlight;
    private final double[] meanServiceNanoseconds;
    private final RetryBudget budget = new RetryBudget(10, 0);
    private final HedgePolicy hedging;
    private long[] latencies;
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::at));

    FakeUpstreams(
            int count, long seed, RouterFixture fixture, int hedgePercentile, Slowness slowness) {
        this.random = new Random(seed);
        this.fixture = fixture;
        this.targets = RouterFixture.near(count);
        this.slowness = slowness;
        this.hedging = new HedgePolicy(hedgePercentile, budget, 0);
        this.slotFreeAt = new long[count][SLOTS];
        this.inFlight = new int[count];
        this.meanServiceNanoseconds =
                IntStream.range(0, count).mapToDouble(i -> SERVICE_NANOSECONDS).toArray();
        fixture.now = 0;
        fixture.router.updateTargets(targets, 0);
    }

    /** Returns the sorted latencies; a failure counts as one second. */
    long[] latencies(int requests, double utilisation) {
        double gap = SERVICE_NANOSECONDS / (utilisation * SLOTS * targets.size());
        latencies = new long[requests];
        double next = 0;
        for (int i = 0; i < requests; i++) {
            next += gap * exponential();
            processEventsUntil((long) next);
            budget.onRequest(fixture.now);
            latencies[i] = Long.MAX_VALUE;
            send(i, Set.of(), fixture.now);
        }
        processEventsUntil(Long.MAX_VALUE);
        return Arrays.stream(latencies).sorted().toArray();
    }

    private void send(int request, Set<NodeId> excluded, long requestedAt) {
        long now = fixture.now;
        Target target = fixture.router.choose(REQUEST, excluded, now).orElseThrow().target();
        int upstream = targets.indexOf(target);
        fixture.router.onSent(target.id(), now);
        inFlight[upstream]++;
        double factor = slowness.of(upstream, now);
        if (factor == 0) {
            latencies[request] = FAILURE;
            long end = now + RouterFixture.MILLISECOND;
            events.add(new Event(end, upstream, now, request, Kind.FAILURE));
            return;
        }
        long end = serve(upstream, factor, now);
        latencies[request] = Math.min(latencies[request], end - requestedAt);
        events.add(new Event(end, upstream, now, request, Kind.ANSWER));
        if (excluded.isEmpty()) {
            scheduleHedge(upstream, request, now);
        }
    }

    private long serve(int upstream, double factor, long now) {
        int slot = firstFree(upstream);
        long start = Math.max(now, slotFreeAt[upstream][slot]);
        long service = (long) (SERVICE_NANOSECONDS * (0.5 + random.nextDouble()) * factor);
        slotFreeAt[upstream][slot] = start + service;
        meanServiceNanoseconds[upstream] += 0.1 * (service - meanServiceNanoseconds[upstream]);
        return start + service;
    }

    private void scheduleHedge(int upstream, int request, long now) {
        OptionalLong delay = hedging.delayNanoseconds(false, now);
        if (delay.isPresent() && delay.getAsLong() < latencies[request]) {
            long at = now + delay.getAsLong();
            events.add(new Event(at, upstream, now, request, Kind.HEDGE));
        }
    }

    private void processEventsUntil(long time) {
        while (!events.isEmpty() && events.peek().at <= time) {
            Event event = events.remove();
            fixture.now = event.at;
            handle(event);
        }
        fixture.now = time;
    }

    private void handle(Event event) {
        TargetId target = targets.get(event.upstream).id();
        long latency = event.at - event.sentAt;
        if (event.kind == Kind.HEDGE) {
            if (hedging.tryHedge(event.at)) {
                send(event.request, Set.of(target.node()), event.sentAt);
            }
            return;
        }
        inFlight[event.upstream]--;
        if (event.kind == Kind.FAILURE) {
            fixture.router.onFailed(target, latency, event.at);
            return;
        }
        fixture.router.onAnswered(target, latency, report(event.upstream), event.at);
        hedging.onAnswered(latency, event.at);
    }

    private LoadReport report(int upstream) {
        int running = Math.min(SLOTS, inFlight[upstream]);
        return LoadReport.newBuilder()
                .setInFlight(running)
                .setQueued(inFlight[upstream] - running)
                .setLimit(SLOTS)
                .setLatencyMicroseconds((int) (meanServiceNanoseconds[upstream] / 1000))
                .setState(UpstreamState.SERVING)
                .build();
    }

    private int firstFree(int upstream) {
        int first = 0;
        for (int i = 1; i < SLOTS; i++) {
            first = slotFreeAt[upstream][i] < slotFreeAt[upstream][first] ? i : first;
        }
        return first;
    }

    private double exponential() {
        return -Math.log(1 - random.nextDouble());
    }
}
