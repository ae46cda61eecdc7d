package org.damaskmoor.soak.fault;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.SocketTimeoutException;
import org.damaskmoor.platform.standin.RawCaller;
import org.damaskmoor.platform.standin.UpstreamStandIn;
import org.damaskmoor.soak.fault.FaultInjectingProxy.Mode;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class FaultInjectingProxyTest {
    private static final int READ_TIMEOUT_MILLISECONDS = 300;
    private static final long DELAY_MILLISECONDS = 60;

    private UpstreamStandIn upstream;
    private FaultInjectingProxy proxy;

    @BeforeEach
    void start() throws IOException {
        upstream = new UpstreamStandIn();
        InetSocketAddress any = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
        proxy = new FaultInjectingProxy(any, upstream.address(), System::nanoTime);
    }

    @AfterEach
    void stop() throws IOException {
        proxy.close();
        upstream.close();
    }

    @Test
    void should_pass_bytes_both_ways() throws IOException {
        try (RawCaller caller = caller()) {
            assertThat(ask(caller, "r1").body()).isEqualTo("answer to r1");
        }
    }

    @Test
    void should_report_when_bytes_were_last_forwarded_to_the_server() throws IOException {
        try (RawCaller caller = caller()) {
            // given
            assertThat(proxy.lastForwardedAt(caller.localPort())).isEqualTo(0);
            long before = System.nanoTime();

            // when
            ask(caller, "r1");

            // then
            assertThat(proxy.lastForwardedAt(caller.localPort())).isGreaterThan(before);
        }
    }

    @Test
    void should_delay_bytes() throws IOException {
        // given
        proxy.setMode(Mode.DELAY, DELAY_MILLISECONDS);
        long asked = System.nanoTime();

        // when
        try (RawCaller caller = caller()) {
            ask(caller, "r1");
        }

        // then
        long milliseconds = (System.nanoTime() - asked) / 1_000_000;
        assertThat(milliseconds).isAtLeast(2 * DELAY_MILLISECONDS);
    }

    @Test
    void should_close_open_connections_when_reset() throws IOException {
        try (RawCaller caller = caller()) {
            ask(caller, "r1");

            // when
            proxy.setMode(Mode.RESET, 0);

            // then
            assertThrows(IOException.class, () -> ask(caller, "r2"));
        }
    }

    @Test
    void should_drop_only_answers_when_cut_one_way() throws Exception {
        // given
        proxy.setMode(Mode.ONE_WAY, 0);

        // when
        try (RawCaller caller = caller()) {
            assertThrows(SocketTimeoutException.class, () -> ask(caller, "r1"));
        }

        // then
        assertThat(upstream.runCount("r1")).isEqualTo(1);
    }

    @Test
    void should_keep_a_silenced_connection_silent_and_serve_new_ones() throws IOException {
        try (RawCaller former = caller()) {
            // given
            proxy.setMode(Mode.SILENT, 0);
            assertThrows(SocketTimeoutException.class, () -> ask(former, "r1"));
            proxy.setMode(Mode.PASS, 0);

            // when
            assertThrows(SocketTimeoutException.class, () -> ask(former, "r2"));
            try (RawCaller later = caller()) {
                // then
                assertThat(ask(later, "r3").body()).isEqualTo("answer to r3");
            }
        }
        assertThat(upstream.runCount("r1") + upstream.runCount("r2")).isEqualTo(0);
    }

    private RawCaller caller() throws IOException {
        return new RawCaller(proxy.address(), READ_TIMEOUT_MILLISECONDS);
    }

    private static RawCaller.Answer ask(RawCaller caller, String id) throws IOException {
        return caller.exchange(RawCaller.get("/read/1", id));
    }
}
