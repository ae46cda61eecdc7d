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
import org.damaskmoor.platform.standin.RawCaller;
import org.damaskmoor.platform.standin.UpstreamStandIn;
import org.damaskmoor.relay.fixture.InProcessRelay;
import org.damaskmoor.relay.fixture.TestFleet;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Upstreams that name a request limit, called from several nodes at several times the limit. */
class UpstreamLimitTest {
    private static final double LIMIT_PER_SECOND = 4;
    private static final long WINDOW_NANOSECONDS = TimeUnit.SECONDS.toNanos(4);

    private static final long INTERVAL_MILLISECONDS = 60;

    private final ExecutorService callers = Executors.newCachedThreadPool();
    private final AtomicInteger requestNumber = new AtomicInteger();
    private TestFleet fleet;
    private UpstreamStandIn upstream;
    private UpstreamStandIn unused;
    private InProcessRelay target;
    private InProcessRelay entry;
    private InProcessRelay secondEntry;

    @BeforeEach
    void start() throws Exception {
        fleet = new TestFleet();
        upstream = new UpstreamStandIn();
        unused = new UpstreamStandIn();
        target = fleet.relay("target", upstream);
        entry = new InProcessRelay("entry-1", "other", unused.address(), fleet.store.address());
        secondEntry =
                new InProcessRelay("entry-2", "other", unused.address(), fleet.store.address());
        TestFleet.await(entry::isReady);
        TestFleet.await(secondEntry::isReady);
        TestFleet.await(() -> entry.log().contains("event=member-added node=target"));
        TestFleet.await(() -> secondEntry.log().contains("event=member-added node=target"));
    }

    @AfterEach
    void stop() throws Exception {
        callers.shutdownNow();
        entry.close();
        secondEntry.close();
        target.close();
        upstream.close();
        unused.close();
        fleet.close();
    }

    @Test
    void should_not_exceed_the_limit_that_an_upstream_names() throws Exception {
        // given
        upstream.nameLimit("4.0");
        send(entry, "first");
        send(secondEntry, "first");
        final long namedAt = System.nanoTime();

        // when
        List<RawCaller.Answer> answers = sendFor(6000);

        // then
        assertThat(maxInWindow(namedAt)).isAtMost(maxAllowed(LIMIT_PER_SECOND));
        assertThat(answers.stream().filter(answer -> answer.status() == 200).count())
                .isAtLeast((long) (0.7 * 6 * LIMIT_PER_SECOND));
        for (RawCaller.Answer answer : answers) {
            assertThat(answer.status()).isAnyOf(200, 503);
        }
        for (RawCaller.Answer refused :
                answers.stream().filter(RawCaller.Answer::isNotRun).toList()) {
            assertThat(refused.headers()).containsKey("retry-after");
        }
    }

    @Test
    void should_keep_the_limit_after_a_restart_of_the_node_beside_the_upstream() throws Exception {
        // given
        upstream.setHealthScript(connection -> {});
        upstream.setScript(
                (request, connection) -> {
                    Thread.sleep(900);
                    connection.send(
                            UpstreamStandIn.answer(
                                    request.id(), 200, "slow", "Server-Limit: 0.5\r\n"));
                });
        send(entry, "first");
        send(secondEntry, "first");
        final long namedAt = System.nanoTime();
        sendFor(2000);
        target.kill();

        // when
        try (InProcessRelay restarted = fleet.restart(target, upstream)) {
            restarted.announce("i-1", 100, 9, "ready");
            sendFor(4000);

            // then
            assertThat(maxInWindow(namedAt)).isAtMost(maxAllowed(0.5));
        }
    }

    @Test
    void should_use_all_slots_again_when_the_upstream_names_no_limit_any_more() throws Exception {
        // given
        upstream.nameLimit("0");
        send(entry, "first");
        List<RawCaller.Answer> limited = sendFor(1500);

        // when
        upstream.clearNotice();
        TestFleet.await(() -> target.log().contains("event=upstream-notice limit=none"));
        List<RawCaller.Answer> unlimited = sendFor(1000);

        // then
        assertThat(limited.stream().filter(answer -> answer.status() == 200).count()).isAtMost(2);
        for (RawCaller.Answer answer : unlimited) {
            assertThat(answer.status()).isEqualTo(200);
        }
    }

    @Test
    void should_not_apply_the_limit_of_a_former_upstream_to_the_next_one() throws Exception {
        // given
        upstream.nameLimit("0.5");
        send(entry, "first");
        sendFor(600);

        // when
        upstream.clearNotice();
        target.announce("i-2", 200, 1, "ready");
        Thread.sleep(200);
        List<RawCaller.Answer> answers = sendFor(1000);

        // then
        for (RawCaller.Answer answer : answers) {
            assertThat(answer.status()).isEqualTo(200);
        }
    }

    @Test
    void should_check_the_health_of_an_upstream_no_more_often_than_its_limit_lets_calls_start()
            throws Exception {
        // given
        AtomicInteger checks = new AtomicInteger();
        upstream.setHealthScript(
                connection -> {
                    checks.incrementAndGet();
                    connection.send(
                            "HTTP/1.1 200 OK\r\nInstance-Id: i-1\r\nServer-Load: 0,0,9,100\r\n"
                                    + "Server-Limit: 2\r\nContent-Length: 0\r\n\r\n");
                });
        upstream.nameLimit("2");
        send(entry, "first");
        checks.set(0);

        // when
        sendFor(3000);

        // then
        assertThat(checks.get()).isAtMost(15);
    }

    private List<RawCaller.Answer> sendFor(long milliseconds) throws Exception {
        List<Future<RawCaller.Answer>> pending = new ArrayList<>();
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(milliseconds);
        while (System.nanoTime() < end) {
            for (InProcessRelay relay : List.of(entry, secondEntry)) {
                String id = "r" + requestNumber.incrementAndGet();
                pending.add(callers.submit(() -> send(relay, id)));
            }
            Thread.sleep(INTERVAL_MILLISECONDS);
        }
        List<RawCaller.Answer> answers = new ArrayList<>();
        for (Future<RawCaller.Answer> answer : pending) {
            answers.add(answer.get(5, TimeUnit.SECONDS));
        }
        return answers;
    }

    private static RawCaller.Answer send(InProcessRelay relay, String id) throws IOException {
        try (RawCaller caller = relay.caller()) {
            return caller.exchange(RawCaller.get("/read/1", id));
        }
    }

    /** Requests that an upstream which names a limit may get in a window. */
    private static int maxAllowed(double limitPerSecond) {
        return (int) (1.5 * 4 * limitPerSecond + 5);
    }

    /** The most requests that the upstream got in any window after the given time. */
    private int maxInWindow(long from) {
        List<Long> times =
                upstream.requests().stream()
                        .map(UpstreamStandIn.Request::receivedAt)
                        .filter(time -> time >= from)
                        .sorted()
                        .toList();
        int most = 0;
        int first = 0;
        for (int i = 0; i < times.size(); i++) {
            while (times.get(i) - times.get(first) > WINDOW_NANOSECONDS) {
                first++;
            }
            most = Math.max(most, i - first + 1);
        }
        return most;
    }
}
