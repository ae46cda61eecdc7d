package org.damaskmoor.relay.internal;

import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.damaskmoor.core.routetable.CallerLimits;
import org.damaskmoor.relay.RelaySettings;
import org.damaskmoor.relay.internal.caller.CallerHandler;
import org.damaskmoor.relay.internal.caller.CallerServer;
import org.damaskmoor.relay.internal.control.AnnouncementEndpoint;
import org.damaskmoor.relay.internal.control.ControlHttpServer;
import org.damaskmoor.relay.internal.control.MetricsEndpoint;
import org.damaskmoor.relay.internal.control.ReadinessEndpoint;
import org.damaskmoor.relay.internal.link.IncomingLinkHandler;
import org.damaskmoor.relay.internal.link.LinkServer;
import org.damaskmoor.relay.internal.log.ConnectionFailureLog;
import org.damaskmoor.relay.internal.log.EventLog;
import org.damaskmoor.relay.internal.metrics.RelayMetrics;
import org.damaskmoor.relay.internal.target.TargetCallHandler;
import org.damaskmoor.relay.internal.time.Timers;

/** Creates the servers of a node from its settings. Confined to the event loop. */
final class NodePortsFactory {
    private final RelaySettings settings;
    private final EventLoop loop;
    private final Timers timers;
    private final EventLog log;
    private final RelayMetrics metrics;

    NodePortsFactory(
            RelaySettings settings,
            EventLoop loop,
            Timers timers,
            EventLog log,
            RelayMetrics metrics) {
        this.settings = settings;
        this.loop = loop;
        this.timers = timers;
        this.log = log;
        this.metrics = metrics;
    }

    /** Creates servers that do not listen yet. */
    NodePorts create(
            TargetCallHandler target,
            IncomingLinkHandler linkHandler,
            CallerHandler callerHandler,
            Supplier<CallerLimits> callerLimits,
            BooleanSupplier ready) {
        CallerServer callers =
                new CallerServer(
                        loop,
                        settings.callers(),
                        timers,
                        callerLimits,
                        callerHandler,
                        status -> metrics.count("malformed", Integer.toString(status)),
                        new ConnectionFailureLog(log, "callers"));
        LinkServer links =
                new LinkServer(
                        loop,
                        settings.links(),
                        linkHandler,
                        new ConnectionFailureLog(log, "incoming-link"));
        return new NodePorts(
                controlServer(
                        settings.announcements(),
                        new AnnouncementEndpoint(target, log),
                        "announcements"),
                links,
                controlServer(settings.readiness(), new ReadinessEndpoint(ready), "readiness"),
                callers,
                settings.metrics()
                        .map(
                                address ->
                                        controlServer(
                                                address,
                                                new MetricsEndpoint(metrics::render),
                                                "metrics")));
    }

    private ControlHttpServer controlServer(
            InetSocketAddress address, ControlHttpServer.RequestHandler handler, String step) {
        return new ControlHttpServer(loop, address, handler, new ConnectionFailureLog(log, step));
    }
}
