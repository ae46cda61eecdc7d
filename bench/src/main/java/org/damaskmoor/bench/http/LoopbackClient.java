package org.damaskmoor.bench.http;

import io.activej.dns.IDnsClient;
import io.activej.dns.protocol.DnsQuery;
import io.activej.dns.protocol.DnsResponse;
import io.activej.http.HttpClient;
import io.activej.promise.Promise;
import io.activej.reactor.nio.NioReactor;
import java.time.Duration;

/** Creates HTTP clients that accept only literal IP addresses. Stateless and thread safe. */
public final class LoopbackClient {
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(2);
    private static final Duration KEEP_ALIVE = Duration.ofSeconds(10);

    private LoopbackClient() {}

    /** Returns a client on the reactor with the given read timeout. */
    public static HttpClient create(NioReactor reactor, Duration readTimeout) {
        return HttpClient.builder(reactor, new LiteralAddresses())
                .withConnectTimeout(CONNECT_TIMEOUT)
                .withReadWriteTimeout(readTimeout)
                .withKeepAliveTimeout(KEEP_ALIVE)
                .build();
    }

    /** Resolves literal IP addresses; host names fail. */
    private static final class LiteralAddresses implements IDnsClient {
        @Override
        public Promise<DnsResponse> resolve(DnsQuery query) {
            DnsResponse response = IDnsClient.resolveFromQuery(query);
            return response == null
                    ? Promise.ofException(
                            new IllegalArgumentException(
                                    "host must be a literal IP address: " + query))
                    : Promise.of(response);
        }

        @Override
        public void close() {
            // No resources to release.
        }
    }
}
