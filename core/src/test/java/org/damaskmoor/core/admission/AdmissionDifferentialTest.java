package org.damaskmoor.core.admission;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.damaskmoor.core.id.CallerName;
import org.damaskmoor.schema.mesh.LoadReport;

/** Compares the controller with a plain list that is sorted before each dequeue. */
class AdmissionDifferentialTest {
    private static final int STEPS = 200;

    private long start;
    private final Comparator<AdmissionRequest> byPrecedence =
            Comparator.comparingInt((AdmissionRequest request) -> -request.importance())
                    .thenComparingLong(request -> request.deadlineNanoseconds() - start)
                    .thenComparingLong(request -> request.id().sequence());

    @Property(seed = "1")
    void should_dequeue_in_the_order_of_a_sorted_list_and_lose_no_request(
            @ForAll long seed,
            @ForAll @IntRange(min = 1, max = 4) int slots,
            @ForAll @IntRange(max = 8) int queueLimit) {
        Random random = new Random(seed);
        AdmissionFixture fixture = new AdmissionFixture(slots, queueLimit);
        start = fixture.now;
        List<AdmissionRequest> waiting = new ArrayList<>();
        for (int i = 0; i < STEPS; i++) {
            // when
            fixture.advance(random.nextInt(4));
            step(random, fixture, waiting);

            // then
            LoadReport report = fixture.controller.loadReport(fixture.now);
            assertThat(report.getQueued()).isEqualTo(waiting.size());
            assertThat(report.getInFlight()).isEqualTo(fixture.running.size());
            assertThat(report.getQueued()).isAtMost(queueLimit);
            assertThat(report.getInFlight()).isAtMost(slots);
        }
    }

    private void step(Random random, AdmissionFixture fixture, List<AdmissionRequest> waiting) {
        int kind = random.nextInt(10);
        if (kind < 6) {
            offer(randomRequest(random, fixture), fixture, waiting);
        } else if (kind == 6 && !waiting.isEmpty()) {
            AdmissionRequest cancelled = waiting.remove(random.nextInt(waiting.size()));
            assertThat(fixture.controller.cancel(cancelled.id())).isTrue();
        } else if (!fixture.running.isEmpty()) {
            fixture.finishOne(random.nextInt(20), AdmissionOutcome.ANSWERED);
            dequeue(fixture, waiting);
        }
    }

    private static AdmissionRequest randomRequest(Random random, AdmissionFixture fixture) {
        CallerName caller = new CallerName("caller-" + random.nextInt(3));
        return fixture.request(caller, random.nextInt(4), random.nextInt(100));
    }

    private static void offer(
            AdmissionRequest request, AdmissionFixture fixture, List<AdmissionRequest> waiting) {
        AdmissionDecision decision = fixture.offer(request);
        if (decision instanceof AdmissionDecision.Queued queued) {
            for (Refusal displaced : queued.displaced()) {
                AdmissionRequest victim = remove(waiting, displaced);
                assertThat(victim.importance()).isAtMost(request.importance());
            }
            waiting.add(request);
        } else if (decision instanceof AdmissionDecision.Admitted) {
            assertThat(waiting).isEmpty();
        }
    }

    private void dequeue(AdmissionFixture fixture, List<AdmissionRequest> waiting) {
        DequeuedRequests dequeued = fixture.dequeue();
        dequeued.refused().forEach(refusal -> remove(waiting, refusal));
        waiting.sort(byPrecedence);
        for (AdmissionRequest admitted : dequeued.admitted()) {
            assertThat(admitted).isEqualTo(waiting.remove(0));
            assertThat(admitted.deadlineNanoseconds() - fixture.now).isGreaterThan(0);
        }
        boolean slotFree = fixture.running.size() < fixture.limit();
        assertThat(slotFree && !waiting.isEmpty()).isFalse();
    }

    private static AdmissionRequest remove(List<AdmissionRequest> waiting, Refusal refusal) {
        for (AdmissionRequest request : waiting) {
            if (request.id().equals(refusal.id())) {
                waiting.remove(request);
                return request;
            }
        }
        throw new AssertionError(refusal.id() + " was refused but did not wait.");
    }
}
