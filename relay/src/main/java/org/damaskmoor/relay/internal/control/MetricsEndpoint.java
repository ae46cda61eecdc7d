package org.damaskmoor.relay.internal.control;

import java.util.function.Supplier;
import org.damaskmoor.relay.internal.control.ControlHttpServer.Answer;

/** Serves the counters and histograms of the relay. Confined to the event loop. */
public final class MetricsEndpoint implements ControlHttpServer.RequestHandler {
    private static final int OK = 200;
    private static final String PATH = "/metrics";

    private final Supplier<String> metrics;

    public MetricsEndpoint(Supplier<String> metrics) {
        this.metrics = metrics;
    }

    @Override
    public Answer handle(String method, String path, String body) {
        return path.equals(PATH) ? Answer.text(OK, metrics.get()) : Answer.notFound();
    }
}
