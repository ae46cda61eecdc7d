package org.damaskmoor.node.internal.entry;

import java.util.HashMap;
import java.util.Map;
import java.util.function.BiFunction;
import java.util.function.IntFunction;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;
import org.damaskmoor.core.configuration.MatchedService;
import org.damaskmoor.core.configuration.ServiceMatcher;
import org.damaskmoor.core.id.DataCentreName;
import org.damaskmoor.core.id.RegionName;
import org.damaskmoor.core.id.ServiceName;
import org.damaskmoor.core.id.TargetId;
import org.damaskmoor.core.retry.HedgePolicy;
import org.damaskmoor.core.retry.RetryBudget;
import org.damaskmoor.core.routing.ChoicePolicy;
import org.damaskmoor.core.routing.Router;
import org.damaskmoor.core.routing.RoutingOptions;
import org.damaskmoor.node.internal.members.MemberDirectory;
import org.damaskmoor.schema.configuration.RetryPolicy;
import org.damaskmoor.schema.configuration.ServiceConfiguration;
import org.damaskmoor.schema.mesh.LoadReport;

/**
 * The runtimes of the services that callers of this node use, made when first needed.
 *
 * <p>Confined to the caller event loop.
 */
public final class ServiceRuntimes {
    private final RegionName region;
    private final DataCentreName dataCentre;
    private final RoutingDefaults defaults;
    private final MemberDirectory members;
    private final LongSupplier clock;
    private final RandomGenerator random;
    private final Map<ServiceName, ServiceRuntime> runtimes = new HashMap<>();
    private ServiceMatcher matcher;

    /**
     * What holds for services that set nothing. Immutable and thread-safe.
     *
     * @param options how to route
     * @param retryBudgetPercent further attempts as a share of requests
     * @param policy how to choose among candidates, from the number that is sampled
     * @param furtherAttempts whether requests are retried and hedged
     * @param observer put around each router
     */
    public record RoutingDefaults(
            RoutingOptions options,
            int retryBudgetPercent,
            IntFunction<ChoicePolicy> policy,
            boolean furtherAttempts,
            BiFunction<ServiceName, Router, Router> observer) {}

    public ServiceRuntimes(
            RegionName region,
            DataCentreName dataCentre,
            RoutingDefaults defaults,
            MemberDirectory members,
            LongSupplier clock,
            RandomGenerator random,
            ServiceMatcher matcher) {
        this.region = region;
        this.dataCentre = dataCentre;
        this.defaults = defaults;
        this.members = members;
        this.clock = clock;
        this.random = random;
        this.matcher = matcher;
    }

    /** The runtime of a service. */
    ServiceRuntime getOrCreate(ServiceName service) {
        return runtimes.computeIfAbsent(service, this::create);
    }

    /** The services in force. */
    public ServiceMatcher matcher() {
        return matcher;
    }

    /** The configuration has changed: runtimes start anew where their policies did. */
    public void onConfigurationChanged(ServiceMatcher changed) {
        ServiceMatcher former = matcher;
        matcher = changed;
        runtimes.keySet().removeIf(service -> policiesDiffer(former, changed, service));
    }

    /** The members have changed. */
    public void onMembersChanged() {
        long now = clock.getAsLong();
        runtimes.forEach(
                (service, runtime) ->
                        runtime.router().updateTargets(members.targets(service), now));
    }

    /** A target told of its load in answer to a probe. */
    public void onLoadReport(TargetId target, LoadReport load, long nowNanoseconds) {
        members.member(target.node())
                .filter(member -> !member.getService().isEmpty())
                .map(member -> runtimes.get(new ServiceName(member.getService())))
                .ifPresent(runtime -> runtime.router().onLoadReport(target, load, nowNanoseconds));
    }

    private static boolean policiesDiffer(
            ServiceMatcher former, ServiceMatcher changed, ServiceName service) {
        ServiceConfiguration before = configuration(former, service);
        ServiceConfiguration after = configuration(changed, service);
        return !before.getRouting().equals(after.getRouting())
                || !before.getRetry().equals(after.getRetry());
    }

    private static ServiceConfiguration configuration(ServiceMatcher matcher, ServiceName service) {
        MatchedService matched = matcher.findByName(service.value());
        return matched == null
                ? ServiceConfiguration.getDefaultInstance()
                : matched.configuration();
    }

    private ServiceRuntime create(ServiceName service) {
        long now = clock.getAsLong();
        ServiceConfiguration configuration = configuration(matcher, service);
        RoutingOptions options = RoutingOptions.of(configuration.getRouting(), defaults.options());
        Router router =
                defaults.observer()
                        .apply(
                                service,
                                Router.create(
                                        region,
                                        dataCentre,
                                        options,
                                        defaults.policy().apply(options.sampledCandidates()),
                                        random));
        router.updateTargets(members.targets(service), now);
        RetryBudget budget = retryBudget(configuration.getRetry(), now);
        int hedgePercentile =
                defaults.furtherAttempts() ? configuration.getRetry().getHedgePercentile() : 0;
        return new ServiceRuntime(router, budget, new HedgePolicy(hedgePercentile, budget, now));
    }

    private RetryBudget retryBudget(RetryPolicy policy, long now) {
        if (!defaults.furtherAttempts()) {
            return RetryBudget.none();
        }
        int percent = policy.getBudgetPercent();
        return new RetryBudget(percent == 0 ? defaults.retryBudgetPercent() : percent, now);
    }
}
