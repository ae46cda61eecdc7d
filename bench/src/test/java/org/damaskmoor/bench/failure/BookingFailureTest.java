package org.damaskmoor.bench.failure;

import static com.google.common.truth.Truth.assertThat;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.damaskmoor.bench.demo.EmulatedVm;
import org.damaskmoor.bench.http.JsonObject;
import org.damaskmoor.bench.load.CallRecord;
import org.damaskmoor.bench.load.Outcome;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;

@Tag("failure")
class BookingFailureTest {
    private static final int SLOW_FACTOR = 200;

    private static FailureTestSite site;
    private static EmulatedVm entry;
    private static EmulatedVm target;

    @BeforeAll
    static void start() throws Exception {
        site = new FailureTestSite();
        entry = site.vm("register-1");
        target = site.vm("besuch-2");
    }

    @AfterAll
    static void stop() {
        site.close();
    }

    @Test
    void should_answer_unknown_when_the_target_is_killed_during_the_run() throws Exception {
        // given
        String nonce = site.nonceFor(target);
        site.setUpstreamFaults(target, new JsonObject().with("service_time_factor", SLOW_FACTOR));
        CompletableFuture<CallRecord> booking =
                CompletableFuture.supplyAsync(() -> site.book(entry, nonce));
        FailureTestSite.await(
                "the upstream runs the booking", () -> site.runsAt(target, nonce) == 1);

        // when
        site.killNode(target);

        // then
        assertThat(booking.get(1, TimeUnit.MINUTES).outcome()).isEqualTo(Outcome.UNKNOWN);
        site.setUpstreamFaults(
                target, new JsonObject().with("service_time_factor", 1.0 / SLOW_FACTOR));
        site.site.startNode(target);
        site.awaitServing(target);
        site.book(entry, nonce);
        assertThat(site.totalRuns(nonce)).isEqualTo(1);
    }

    @Test
    void should_not_run_again_when_the_target_restarts_before_the_resend() throws Exception {
        // given
        String nonce = site.nonceFor(target);
        assertThat(site.book(entry, nonce).outcome()).isEqualTo(Outcome.ANSWERED);

        // when
        site.killNode(target);
        site.site.startNode(target);
        site.awaitServing(target);
        site.book(entry, nonce);

        // then
        assertThat(site.totalRuns(nonce)).isEqualTo(1);
    }

    @Test
    void should_run_once_when_a_frozen_target_resumes_after_the_resend_ran_elsewhere()
            throws Exception {
        // given
        String nonce = site.nonceFor(target);
        site.children.freeze(target.nodeId());
        CallRecord first = site.book(entry, nonce);
        FailureTestSite.await(
                "a resend is answered by another target",
                () -> site.book(entry, nonce).outcome() == Outcome.ANSWERED);

        // when
        site.children.resume(target.nodeId());
        site.awaitServing(target);

        // then
        assertThat(first.outcome()).isEqualTo(Outcome.UNKNOWN);
        assertThat(site.totalRuns(nonce)).isEqualTo(1);
        assertThat(site.runsAt(target, nonce)).isEqualTo(0);
    }

    @Test
    void should_answer_every_booking_when_open_connections_stop_delivering() throws Exception {
        // given
        site.awaitServing(target);
        long lostLinks = site.countLogLines(entry, "event=link-lost");

        // when
        site.links.silence("bern-nord/bern-sued");

        // then
        FailureTestSite.await(
                "the entry node closed the silent connection",
                () -> {
                    String nonce = site.nonceFor(target);
                    assertThat(site.book(entry, nonce).outcome()).isEqualTo(Outcome.ANSWERED);
                    assertThat(site.totalRuns(nonce)).isEqualTo(1);
                    return site.countLogLines(entry, "event=link-lost") > lostLinks;
                });
    }
}
