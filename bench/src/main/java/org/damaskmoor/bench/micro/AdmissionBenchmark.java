package org.damaskmoor.bench.micro;

import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.damaskmoor.core.admission.AdmissionController;
import org.damaskmoor.core.admission.AdmissionOptions;
import org.damaskmoor.core.admission.AdmissionOutcome;
import org.damaskmoor.core.admission.AdmissionRequest;
import org.damaskmoor.core.admission.DequeuedRequests;
import org.damaskmoor.core.id.CallerName;
import org.damaskmoor.core.id.Incarnation;
import org.damaskmoor.core.id.NodeId;
import org.damaskmoor.core.id.RequestId;
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
 * Measures one cycle of the admission controller (offer a request, finish another, dequeue the
 * next) with a given number of queued requests.
 *
 * <p>Run with {@code java -cp ... org.openjdk.jmh.Main AdmissionBenchmark}.
 */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 5, time = 1)
@Fork(1)
public class AdmissionBenchmark {
    private static final int SLOTS = 10;
    private static final int QUEUE_LIMIT = 256;
    private static final long CYCLE_NANOSECONDS = 100_000;
    private static final long LATENCY_NANOSECONDS = 1_000_000;
    private static final NodeId ENTRY = new NodeId("entry");
    private static final Incarnation INCARNATION = new Incarnation(1);
    private static final CallerName CALLER = new CallerName("residents");

    @Param({"0", "100"})
    private int waiting;

    private AdmissionController controller;
    private RequestId running;
    private long sequence;
    private long now;

    /** Occupies all slots and queues the given number of requests. */
    @Setup
    public void setUp() {
        controller = AdmissionController.create(new AdmissionOptions(0, QUEUE_LIMIT, Map.of()));
        controller.onUpstreamState(UpstreamState.SERVING, SLOTS, 250);
        running = request().id();
        controller.offer(new AdmissionRequest(running, CALLER, 1, 1, Long.MAX_VALUE), now);
        for (int i = 1; i < SLOTS + waiting; i++) {
            controller.offer(request(), now);
        }
    }

    /** Offers one request, finishes one and dequeues one. */
    @Benchmark
    public DequeuedRequests offerFinishDequeue() {
        now += CYCLE_NANOSECONDS;
        controller.offer(request(), now);
        controller.onFinished(running, LATENCY_NANOSECONDS, AdmissionOutcome.ANSWERED, now);
        DequeuedRequests next = controller.dequeue(now);
        running = next.admitted().get(0).id();
        return next;
    }

    private AdmissionRequest request() {
        RequestId id = new RequestId(ENTRY, INCARNATION, ++sequence);
        long deadline = now + TimeUnit.SECONDS.toNanos(5);
        return new AdmissionRequest(id, CALLER, 1, 1, deadline);
    }
}
