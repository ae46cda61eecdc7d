package org.damaskmoor.bench.upstream;

import com.google.common.flogger.FluentLogger;
import io.activej.http.HttpClient;
import io.activej.http.HttpRequest;
import io.activej.reactor.nio.NioReactor;
import java.net.URI;
import java.util.function.Supplier;
import org.damaskmoor.bench.http.JsonObject;

/**
 * Tells the node beside an upstream, again and again, where the upstream is and what state it is
 * in.
 *
 * <p>Invariant: a failed announcement is tried again at the next interval. Not thread safe: one
 * event loop owns it.
 */
public final class Announcer {
    /** What stays the same in every announcement. */
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

    /** Announces now and at every interval from now on. Call it on the event loop. */
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
