package org.damaskmoor.bench.upstream;

import com.google.common.flogger.FluentLogger;
import io.activej.http.HttpClient;
import io.activej.http.HttpRequest;
import io.activej.reactor.nio.NioReactor;
import java.net.URI;
import java.util.function.Supplier;
import org.damaskmoor.bench.http.JsonObject;

/**
 * Periodically announces the address, capacity and state of an upstream to its node.
 *
 * <p>Invariant: a failed announcement is retried at the next interval. Not thread safe: confined to
 * one event loop.
 */
public final class Announcer {
    /** The constant fields of an announcement. */
    public record Upstream(String service, int port, int slots, int connections) {}

    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    private static final long INTERVAL_MILLISECONDS = 500;

    private final NioReactor reactor;
    private final HttpClient client;
    private final URI controlUrl;
    private final Upstream upstream;
    private final Supplier<String> state;

    public Announcer(
            NioReactor reactor,
            HttpClient client,
            URI controlUrl,
            Upstream upstream,
            Supplier<String> state) {
        this.reactor = reactor;
        this.client = client;
        this.controlUrl = controlUrl;
        this.upstream = upstream;
        this.state = state;
    }

    /** Announces now and then at every interval. Must be called on the event loop. */
    public void start() {
        announce();
        reactor.delayBackground(INTERVAL_MILLISECONDS, this::start);
    }

    private void announce() {
        HttpRequest request =
                HttpRequest.post(controlUrl + "/announce").withBody(body().toString()).build();
        client.request(request)
                .whenException(
                        cause ->
                                LOGGER.atFine().log(
                                        "event=announce-failed peer=%s cause=%s",
                                        controlUrl, cause));
    }

    private JsonObject body() {
        return new JsonObject()
                .with("service", upstream.service())
                .with("address", "127.0.0.1")
                .with("port", upstream.port())
                .with("slots", upstream.slots())
                .with("connections", upstream.connections())
                .with("state", state.get());
    }
}
