package org.damaskmoor.bench.http;

import io.activej.dns.IDnsClient;
import io.activej.dns.protocol.DnsQuery;
import io.activej.dns.protocol.DnsResponse;
import io.activej.http.HttpClient;
import io.activej.promise.Promise;
import io.activej.reactor.nio.NioReactor;
import java.time.Duration;

/** Makes HTTP clients that speak to IP numbers only. Stateless and safe for all threads. */
public final class LoopbackClient {
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(2);
    private static final Duration KEEP_ALIVE = Duration.ofSeconds(10);

    private LoopbackClient() {}

    /** Returns a client on the reactor that gives up on an answer after the given time. */
    public static HttpClient create(NioReactor reactor, Duration readTimeout) {
        return HttpClient.builder(reactor, new LiteralAddresses())
                .withConnectTimeout(CONNECT_TIMEOUT)
                .withReadWriteTimeout(readTimeout)
                .withKeepAliveTimeout(KEEP_ALIVE)
                .build();
    }

    /** Resolves IP numbers; a name fails. */
    private static final class LiteralAddresses implements IDnsClient {
        @Override
        public Promise<DnsResponse> resolve(DnsQuery query) {
            DnsResponse response = IDnsClient.resolveFromQuery(query);
            return response == null
                    ? Promise.ofException(
                            new IllegalArgumentException("not an IP number: " + query))
                    : Promise.of(response);
        }

        @Override
        public void close() {
            // Nothing is held.
        }
    }
}
