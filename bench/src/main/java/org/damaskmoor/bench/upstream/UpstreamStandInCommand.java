package org.damaskmoor.bench.upstream;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;
import io.activej.eventloop.Eventloop;
import java.net.URI;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Random;
import java.util.concurrent.Callable;
import org.damaskmoor.bench.http.EventLoopServer;
import org.damaskmoor.bench.http.LoopbackClient;
import org.damaskmoor.bench.upstream.ServiceTimes.ColdStart;

/** Runs an upstream stand-in until the process is terminated. Used by one thread. */
@Command(name = "upstream-stand-in", description = "An upstream with slots, faults and a ledger")
public final class UpstreamStandInCommand implements Callable<Integer> {
    private static final int CRASH_EXIT_CODE = 137;
    private static final Duration ANNOUNCE_TIMEOUT = Duration.ofSeconds(1);

    @Option(name = "--service", description = "Name of the service")
    @Required
    private String service;

    @Option(name = "--port", description = "Port to listen on")
    @Required
    private int port;

    @Option(name = "--control-url", description = "Control URL of its node")
    private String controlUrl = "";

    @Option(name = "--slots", description = "Maximum number of concurrent requests")
    private int slots = 10;

    @Option(name = "--connections", description = "Announced connection limit")
    private int connections = 250;

    @Option(name = "--ledger-file", description = "File that records every run across restarts")
    private String ledgerFile = "";

    @Option(name = "--seed", description = "Seed of the service times")
    private long seed = 1;

    @Option(name = "--service-milliseconds", description = "Typical service time")
    private double serviceMilliseconds = 10;

    @Option(name = "--cold-start-milliseconds", description = "Duration of the cold start")
    private long coldStartMilliseconds;

    @Option(name = "--cold-start-factor", description = "Service time factor during the cold start")
    private double coldStartFactor = 5;

    @Override
    public Integer call() throws Exception {
        new EventLoopServer("upstream", port, this::servlet).join();
        return 0;
    }

    private UpstreamServlet servlet(Eventloop eventLoop) {
        ColdStart coldStart = new ColdStart(coldStartMilliseconds, coldStartFactor);
        long now = eventLoop.currentTimeMillis();
        UpstreamServlet servlet =
                new UpstreamServlet(
                        eventLoop,
                        new Slots(slots),
                        new ServiceTimes(serviceMilliseconds, new Random(seed), coldStart, now),
                        new UpstreamFaults(),
                        ledgerFile.isEmpty()
                                ? new RunLedger()
                                : new RunLedger(new LedgerFile(Path.of(ledgerFile))),
                        () -> Runtime.getRuntime().halt(CRASH_EXIT_CODE));
        if (!controlUrl.isEmpty()) {
            eventLoop.execute(() -> announcer(eventLoop, servlet).start());
        }
        return servlet;
    }

    private Announcer announcer(Eventloop eventLoop, UpstreamServlet servlet) {
        return new Announcer(
                eventLoop,
                LoopbackClient.create(eventLoop, ANNOUNCE_TIMEOUT),
                URI.create(controlUrl),
                new Announcer.Upstream(service, port, slots, connections),
                servlet::state);
    }
}
