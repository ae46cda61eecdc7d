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

/** Runs one upstream stand-in within this process, on an event loop of its own. Thread-safe. */
final class ExperimentUpstream implements AutoCloseable {
    private static final Duration ANNOUNCE_TIMEOUT = Duration.ofSeconds(1);
    private static final int MAX_CONNECTIONS = 250;

    private final EventLoopServer server;
    private final UpstreamFaults faults = new UpstreamFaults();
    private ServiceTimes times;

    /** Start parameters of an upstream. Immutable. */
    record Options(
            String service,
            ExperimentVm vm,
            int slots,
            double serviceMilliseconds,
            ColdStart coldStart,
            long seed) {}

    ExperimentUpstream(Options options) throws IOException {
        server =
                new EventLoopServer(
                        "upstream",
                        options.vm().upstreamPort(),
                        eventLoop -> servlet(eventLoop, options));
    }

    private UpstreamServlet servlet(Eventloop eventLoop, Options options) {
        times =
                new ServiceTimes(
                        options.serviceMilliseconds(),
                        new Random(options.seed()),
                        options.coldStart(),
                        System.currentTimeMillis());
        UpstreamServlet servlet =
                new UpstreamServlet(
                        eventLoop,
                        new Slots(options.slots()),
                        times,
                        faults,
                        new RunLedger(),
                        () -> {});
        eventLoop.execute(() -> announcer(eventLoop, options, servlet).start());
        return servlet;
    }

    private static Announcer announcer(
            Eventloop eventLoop, Options options, UpstreamServlet servlet) {
        return new Announcer(
                eventLoop,
                LoopbackClient.create(eventLoop, ANNOUNCE_TIMEOUT),
                URI.create(options.vm().controlUrl()),
                new Announcer.Upstream(
                        options.service(),
                        options.vm().upstreamPort(),
                        options.slots(),
                        MAX_CONNECTIONS),
                servlet::state);
    }

    /** Multiplies the service time of all later requests; 1 restores normal speed. */
    void setServiceTimeFactor(double factor) {
        server.eventLoop().execute(() -> times.shift(factor));
    }

    /** Makes all later requests fail immediately. */
    void failFast() {
        server.eventLoop().execute(() -> faults.change(new JsonObject().with("fail_fast", true)));
    }

    @Override
    public void close() {
        server.close();
    }
}
