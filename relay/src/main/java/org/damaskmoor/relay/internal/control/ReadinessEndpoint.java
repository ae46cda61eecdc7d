package org.damaskmoor.relay.internal.control;

import java.util.function.BooleanSupplier;
import org.damaskmoor.platform.protocol.EndpointPaths;
import org.damaskmoor.relay.internal.control.ControlHttpServer.Answer;

/** Answers the platform's readiness checks. Confined to the event loop. */
public final class ReadinessEndpoint implements ControlHttpServer.RequestHandler {
    private static final int OK = 200;
    private static final int UNAVAILABLE = 503;

    private final BooleanSupplier ready;

    public ReadinessEndpoint(BooleanSupplier ready) {
        this.ready = ready;
    }

    @Override
    public Answer handle(String method, String path, String body) {
        if (!path.equals(EndpointPaths.READY)) {
            return Answer.notFound();
        }
        return ready.getAsBoolean()
                ? Answer.text(OK, "ready\n")
                : Answer.text(UNAVAILABLE, "not ready\n");
    }
}
