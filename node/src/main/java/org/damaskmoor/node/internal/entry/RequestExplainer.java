package org.damaskmoor.node.internal.entry;

import java.util.Optional;
import java.util.function.LongSupplier;
import org.damaskmoor.core.configuration.MatchedRule;
import org.damaskmoor.core.configuration.MatchedService;
import org.damaskmoor.core.id.ServiceName;
import org.damaskmoor.core.routing.Router;

/** Explains to operators where requests would be routed. Confined to the caller event loop. */
final class RequestExplainer {
    private final ServiceRuntimes runtimes;
    private final LongSupplier clock;

    RequestExplainer(ServiceRuntimes runtimes, LongSupplier clock) {
        this.runtimes = runtimes;
        this.clock = clock;
    }

    /** Explains where the request would be routed; empty if no such service is in force. */
    Optional<RequestExplanation> explain(RequestDescription request) {
        MatchedService service = runtimes.matcher().findByName(request.service().value());
        if (service == null) {
            return Optional.empty();
        }
        MatchedRule rule = service.findRule(request.method(), request.path());
        Router router = runtimes.getOrCreate(new ServiceName(service.name())).router();
        return Optional.of(
                new RequestExplanation(
                        rule,
                        rule.allows(request.caller()),
                        router.explain(clock.getAsLong()),
                        router.isRegionHeadroomExhausted()));
    }
}
