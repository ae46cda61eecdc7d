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
 * Holds the routing state of each service that callers of this node use, created on first use.
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
     * Routing defaults for services that don't set their own. Immutable and thread-safe.
     *
     * @param options routing options
     * @param retryBudgetPercent further attempts as a percentage of requests
     * @param policy creates the policy that chooses among candidates, given the number of sampled
     *     candidates
     * @param furtherAttempts whether requests are retried and hedged
     * @param observer wraps the router of each service
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

    /** Returns the runtime of a service, created on first use. */
    ServiceRuntime getOrCreate(ServiceName service) {
        return runtimes.computeIfAbsent(service, this::create);
    }

    /** Returns the matcher for the services in force. */
    public ServiceMatcher matcher() {
        return matcher;
    }

    /**
     * Applies a changed configuration: discards the runtimes of services whose routing or retry
     * policy changed.
     */
    public void onConfigurationChanged(ServiceMatcher changed) {
        ServiceMatcher previous = matcher;
        matcher = changed;
        runtimes.keySet().removeIf(service -> policiesDiffer(previous, changed, service));
    }

    /** Passes the current members to the routers. */
    public void onMembersChanged() {
        long now = clock.getAsLong();
        runtimes.forEach(
                (service, runtime) ->
                        runtime.router().updateTargets(members.targets(service), now));
    }

    /** Passes the load that a target reported in reply to a probe to the router of its service. */
    public void onLoadReport(TargetId target, LoadReport load, long nowNanoseconds) {
        members.member(target.node())
                .filter(member -> !member.getService().isEmpty())
                .map(member -> runtimes.get(new ServiceName(member.getService())))
                .ifPresent(runtime -> runtime.router().onLoadReport(target, load, nowNanoseconds));
    }

    private static boolean policiesDiffer(
            ServiceMatcher previous, ServiceMatcher changed, ServiceName service) {
        ServiceConfiguration before = configuration(previous, service);
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
