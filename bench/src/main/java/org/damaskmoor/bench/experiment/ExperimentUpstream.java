package org.damaskmoor.bench.experiment;

import io.activej.eventloop.Eventloop;
import java.io.IOException;
import java.net.URI;
import java.time.Duration;
import java.util.Random;
import org.damaskmoor.bench.http.EventLoopServer;
import org.damaskmoor.bench.http.JsonObject;
import org.damaskmoor.bench.http.LoopbackClient;
import org.damaskmoor.bench.upstream.Announcer;
import org.damaskmoor.bench.upstream.RunLedger;
import org.damaskmoor.bench.upstream.ServiceTimes;
import org.damaskmoor.bench.upstream.ServiceTimes.ColdStart;
import org.damaskmoor.bench.upstream.Slots;
import org.damaskmoor.bench.upstream.UpstreamFaults;
import org.damaskmoor.bench.upstream.UpstreamServlet;

/** One upstream stand-in within this process. Thread safe. */
final class ExperimentUpstream implements AutoCloseable {
    private static final Duration ANNOUNCE_TIMEOUT = Duration.ofSeconds(1);
    private static final int CONNECTIONS = 250;

    private final EventLoopServer server;
    private final UpstreamFaults faults = new UpstreamFaults();
    private ServiceTimes times;

    /** What an upstream is started with. Immutable. */
    record Start(
            String service,
            ExperimentVm place,
            int slots,
            double serviceMilliseconds,
            ColdStart coldStart,
            long seed) {}

    ExperimentUpstream(Start start) throws IOException {
        server =
                new EventLoopServer(
                        "upstream",
                        start.place().upstreamPort(),
                        eventLoop -> servlet(eventLoop, start));
    }

    private UpstreamServlet servlet(Eventloop eventLoop, Start start) {
        times =
                new ServiceTimes(
                        start.serviceMilliseconds(),
                        new Random(start.seed()),
                        start.coldStart(),
                        System.currentTimeMillis());
        UpstreamServlet servlet =
                new UpstreamServlet(
                        eventLoop,
                        new Slots(start.slots()),
                        times,
                        faults,
                        new RunLedger(),
                        () -> {});
        eventLoop.execute(() -> announcer(eventLoop, start, servlet).start());
        return servlet;
    }

    private static Announcer announcer(Eventloop eventLoop, Start start, UpstreamServlet servlet) {
        return new Announcer(
                eventLoop,
                LoopbackClient.create(eventLoop, ANNOUNCE_TIMEOUT),
                URI.create(start.place().controlUrl()),
                new Announcer.Upstream(
                        start.service(), start.place().upstreamPort(), start.slots(), CONNECTIONS),
                servlet::state);
    }

    /** Makes all later requests longer by the factor. */
    void setServiceTimeFactor(double factor) {
        server.eventLoop().execute(() -> times.shift(factor));
    }

    /** Makes all later requests fail at once. */
    void failFast() {
        server.eventLoop().execute(() -> faults.change(new JsonObject().with("fail_fast", true)));
    }

    @Override
    public void close() {
        server.close();
    }
}
