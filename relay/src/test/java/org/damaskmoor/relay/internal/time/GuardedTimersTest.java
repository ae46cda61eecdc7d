package org.damaskmoor.relay.internal.time;

import static com.google.common.truth.Truth.assertThat;

import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.damaskmoor.relay.fixture.TestFleet;
import org.damaskmoor.relay.internal.log.RateLimitedEventLog;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class GuardedTimersTest {
    private final EventLoop loop = new NioEventLoopGroup(1).next();
    private final ByteArrayOutputStream output = new ByteArrayOutputStream();
    private final EventLoopTimers timers = new EventLoopTimers(loop);
    private final RateLimitedEventLog log =
            new RateLimitedEventLog(timers, new PrintStream(output, true, StandardCharsets.UTF_8));
    private final GuardedTimers guarded = new GuardedTimers(timers, log);

    @AfterEach
    void stop() {
        loop.parent().shutdownGracefully(0, 0, TimeUnit.SECONDS);
        log.close();
    }

    @Test
    void should_run_a_repeated_task_again_when_it_failed() throws Exception {
        // given
        CountDownLatch runs = new CountDownLatch(3);

        // when
        loop.execute(
                () ->
                        guarded.repeat(
                                5,
                                () -> {
                                    runs.countDown();
                                    throw new IllegalStateException("first fault");
                                }));

        // then
        assertThat(runs.await(2, TimeUnit.SECONDS)).isTrue();
    }

    @Test
    void should_log_the_cause_when_a_task_fails_with_an_error() throws Exception {
        // when
        loop.execute(
                () ->
                        guarded.schedule(
                                1,
                                () -> {
                                    throw new StackOverflowError("too deep");
                                }));

        // then
        TestFleet.await(() -> text().contains("event=task-failed"));
        assertThat(text()).contains("too deep");
    }

    private String text() {
        return output.toString(StandardCharsets.UTF_8);
    }
}
