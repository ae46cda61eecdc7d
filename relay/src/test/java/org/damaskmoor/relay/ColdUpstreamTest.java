package org.damaskmoor.relay;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.damaskmoor.platform.standin.ConfigurationJson;
import org.damaskmoor.platform.standin.RawCaller;
import org.damaskmoor.platform.standin.StoreStandIn;
import org.damaskmoor.platform.standin.UpstreamStandIn;
import org.damaskmoor.relay.fixture.InProcessRelay;
import org.damaskmoor.relay.fixture.TestFleet;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against upstreams that crash because they get too many calls while they are cold. */
class ColdUpstreamTest {
    private static final int COLD_PER_SECOND = 8;

    /** The pace while it is cold: the rate, the burst, and one call by rounding and jitter. */
    private static final int PACE = COLD_PER_SECOND + COLD_PER_SECOND / 4 + 1;

    /** Calls that a cold upstream must not get in any second. */
    private static final int HARD_BOUND = (int) (COLD_PER_SECOND * 1.5 + 8);

    private static final long SECOND_NANOSECONDS = TimeUnit.SECONDS.toNanos(1);
    private static final long INTERVAL_MILLISECONDS = 40;

    private final ExecutorService callers = Executors.newCachedThreadPool();
    private final AtomicInteger requestNumber = new AtomicInteger();
    private TestFleet fleet;
    private UpstreamStandIn upstream;
    private UpstreamStandIn unused;
    private InProcessRelay target;
    private InProcessRelay entry;

    @BeforeEach
    void start() throws Exception {
        fleet = new TestFleet();
        fleet.store.putConfiguration(
                ConfigurationJson.of(2, "")
                        .replace(
                                "{\"name\":\"books\",",
                                "{\"name\":\"books\",\"coldStart\":\"3s\",\"coldPerS\":8,"));
        upstream = new UpstreamStandIn();
        unused = new UpstreamStandIn();
        target = fleet.relay("target", upstream);
        entry = new InProcessRelay("entry", "other", unused.address(), fleet.store.address());
        TestFleet.await(entry::isReady);
        TestFleet.await(() -> entry.log().contains("event=member-added node=target"));
    }

    @AfterEach
    void stop() throws Exception {
        callers.shutdownNow();
        entry.close();
        target.close();
        upstream.close();
        unused.close();
        fleet.close();
    }

    @Test
    void should_pace_calls_while_an_upstream_is_cold_and_use_it_at_full_afterwards()
            throws Exception {
        // given
        upstream.sayCold(2500);
        target.announceCold("i-1", 100, 2, "2500ms");
        final long coldAt = System.nanoTime();

        // when
        List<RawCaller.Answer> whileCold = sendFor(2000);

        // then
        assertThat(mostInASecond(upstream, coldAt)).isAtMost(PACE);
        assertThat(answered(whileCold)).isAtLeast(COLD_PER_SECOND);
        assertAllAnsweredOrNotRun(whileCold);

        // when
        upstream.clearNotice();
        target.announceCold("i-1", 100, 3, "0ms");
        List<RawCaller.Answer> warm = sendFor(1000);

        // then
        assertThat(answered(warm)).isEqualTo(warm.size());
    }

    @Test
    void should_pace_calls_when_an_upstream_becomes_cold_again_under_load() throws Exception {
        // given
        Future<List<RawCaller.Answer>> load = callers.submit(() -> sendFor(3500));
        Thread.sleep(1000);

        // when
        upstream.sayCold(2400);
        final long coldAt = System.nanoTime();
        List<RawCaller.Answer> answers = load.get(10, TimeUnit.SECONDS);

        // then
        assertThat(mostInASecond(upstream, coldAt)).isAtMost(HARD_BOUND);
        assertThat(mostInASecond(upstream, coldAt + SECOND_NANOSECONDS)).isAtMost(PACE);
        assertAllAnsweredOrNotRun(answers);
    }

    @Test
    void should_pace_calls_when_an_upstream_is_restarted_under_the_same_id() throws Exception {
        // given
        Future<List<RawCaller.Answer>> load = callers.submit(() -> sendFor(4500));
        Thread.sleep(800);
        int port = upstream.address().getPort();

        // when
        upstream.close();
        upstream = new UpstreamStandIn(port);
        upstream.sayCold(2900);
        final long restartedAt = System.nanoTime();
        Thread.sleep(900);
        target.announceCold("i-1", 900, 1, "2000ms");
        load.get(10, TimeUnit.SECONDS);

        // then
        assertThat(mostInASecond(upstream, restartedAt)).isAtMost(PACE);
        assertThat(upstream.requests().size()).isAtLeast(COLD_PER_SECOND);
        assertThat(target.log()).contains("event=upstream-cold");
    }

    @Test
    void should_assume_a_cold_upstream_after_a_restart_of_the_relay() throws Exception {
        // given: the upstream does not tell that it is cold
        upstream.sayCold(2500);
        target.announceCold("i-1", 100, 2, "2500ms");
        target.kill();
        upstream.clearNotice();
        final long killedAt = System.nanoTime();

        // when
        target = fleet.restart(target, upstream);
        target.announceCold("i-1", 100, 3, "soon");
        List<RawCaller.Answer> answers = sendFor(1800);

        // then
        assertThat(mostInASecond(upstream, killedAt)).isAtMost(PACE);
        assertThat(answered(answers)).isAtLeast(COLD_PER_SECOND);
        assertThat(target.log()).contains("event=upstream-cold-unreadable");
    }

    /** Guards against calls that start without a limit before the configuration is known. */
    @Test
    void should_pace_calls_when_a_restarted_relay_hears_only_from_its_callers() throws Exception {
        // given
        send("before");
        fleet.store.setMode(StoreStandIn.Mode.UNAVAILABLE);
        target.kill();
        upstream.sayCold(2900);
        final long killedAt = System.nanoTime();

        // when
        target = fleet.restartAlone(target, upstream);
        target.announceCold("i-1", 100, 3, "2900ms");
        List<RawCaller.Answer> answers = sendFor(2800);

        // then
        assertThat(mostInASecond(upstream, killedAt)).isAtMost(PACE);
        assertThat(answered(answers)).isAtLeast(COLD_PER_SECOND);
        assertThat(target.log()).contains("event=configuration-in-force version=2");
    }

    /** Guards against a warm upstream that is paced because it sent a faulty answer. */
    @Test
    void should_not_assume_a_restart_when_an_answer_can_not_be_read() throws Exception {
        // given
        target.announceCold("i-1", 100, 2, "0ms");
        upstream.setScript(
                (request, connection) ->
                        connection.send(
                                "HTTP/1.1 200 OK\r\nRequest-Id: faulty\r\n"
                                        + "Transfer-Encoding: chunked\r\n\r\nzz\r\n"));

        // when
        final RawCaller.Answer faulty = send("faulty");
        upstream.setScript(UpstreamStandIn::answerOk);
        final RawCaller.Answer next = send("next");
        target.announceCold("i-1", 100, 3, "2500ms");

        // then: the announcement is the first to tell that the upstream is cold
        TestFleet.await(() -> target.log().contains("event=upstream-cold"));
        assertThat(target.log()).contains("cause=announcement");
        assertThat(faulty.status()).isEqualTo(502);
        assertThat(next.status()).isEqualTo(200);
        assertThat(target.log()).doesNotContain("cause=connection-broken");
    }

    @Test
    void should_keep_a_named_limit_and_the_cold_limit_together() throws Exception {
        // given
        upstream.nameLimit("4");
        send("first");
        target.announceCold("i-1", 100, 2, "3s");
        final long coldAt = System.nanoTime();

        // when
        sendFor(2500);

        // then: the limit of 4 a second keeps unused starts of one second
        assertThat(mostInASecond(upstream, coldAt)).isAtMost(9);
        assertThat(upstream.requests().size()).isAtMost(4 * 4 + 2);
    }

    private void assertAllAnsweredOrNotRun(List<RawCaller.Answer> answers) {
        for (RawCaller.Answer answer : answers) {
            assertThat(answer.status()).isAnyOf(200, 503);
        }
    }

    private static int answered(List<RawCaller.Answer> answers) {
        return (int) answers.stream().filter(answer -> answer.status() == 200).count();
    }

    private List<RawCaller.Answer> sendFor(long milliseconds) throws Exception {
        List<Future<RawCaller.Answer>> pending = new ArrayList<>();
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(milliseconds);
        while (System.nanoTime() < end) {
            String id = "r" + requestNumber.incrementAndGet();
            pending.add(callers.submit(() -> send(id)));
            Thread.sleep(INTERVAL_MILLISECONDS);
        }
        List<RawCaller.Answer> answers = new ArrayList<>();
        for (Future<RawCaller.Answer> answer : pending) {
            answers.add(answer.get(5, TimeUnit.SECONDS));
        }
        return answers;
    }

    private RawCaller.Answer send(String id) throws IOException {
        try (RawCaller caller = entry.caller()) {
            return caller.exchange(RawCaller.get("/read/1", id));
        }
    }

    /** The most requests that the upstream got in any second after the given time. */
    private static int mostInASecond(UpstreamStandIn upstream, long from) {
        List<Long> times =
                upstream.requests().stream()
                        .map(UpstreamStandIn.Request::receivedAt)
                        .filter(time -> time >= from)
                        .sorted()
                        .toList();
        int most = 0;
        int first = 0;
        for (int i = 0; i < times.size(); i++) {
            while (times.get(i) - times.get(first) >= SECOND_NANOSECONDS) {
                first++;
            }
            most = Math.max(most, i - first + 1);
        }
        return most;
    }
}
