package org.damaskmoor.node.internal.entry;

import java.util.Optional;
import java.util.function.Supplier;
import org.damaskmoor.core.configuration.MatchedRule;
import org.damaskmoor.core.configuration.MatchedService;
import org.damaskmoor.core.configuration.ServiceMatcher;
import org.damaskmoor.core.id.CallerName;
import org.damaskmoor.core.id.ServiceName;
import org.damaskmoor.node.internal.http.CallerRequest;

/** Matches requests against the configuration in force. Confined to the caller event loop. */
final class ConfiguredMatcher implements RequestMatcher {
    private final Supplier<ServiceMatcher> services;

    ConfiguredMatcher(Supplier<ServiceMatcher> services) {
        this.services = services;
    }

    @Override
    public Optional<MatchedRequest> match(CallerRequest request) {
        MatchedService service = services.get().find(request.host(), request.path());
        if (service == null) {
            return Optional.empty();
        }
        MatchedRule rule = service.findRule(request.method(), request.path());
        String caller =
                service.callerOf(
                        request.header(service.callerHeader()), request.remote().getAddress());
        return Optional.of(
                new MatchedRequest(
                        new ServiceName(service.name()),
                        new CallerName(caller),
                        rule.allows(caller),
                        rule.kind(),
                        rule.nonIdempotent(),
                        rule.claim(),
                        rule.weight(),
                        rule.importance(),
                        rule.timeoutMilliseconds(),
                        service.version()));
    }
}
