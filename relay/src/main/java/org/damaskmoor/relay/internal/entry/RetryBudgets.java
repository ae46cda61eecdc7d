package org.damaskmoor.relay.internal.entry;

import java.util.HashMap;
import java.util.Map;
import org.damaskmoor.core.id.ServiceName;
import org.damaskmoor.core.retry.FleetRetryBudget;

/** This node's shares of the retry budgets of all services. Confined to the event loop. */
public final class RetryBudgets {
    private final double ratio;
    private final double slack;
    private final long windowMilliseconds;
    private final Map<ServiceName, FleetRetryBudget> budgets = new HashMap<>();

    public RetryBudgets(double ratio, double slack, long windowMilliseconds) {
        this.ratio = ratio;
        this.slack = slack;
        this.windowMilliseconds = windowMilliseconds;
    }

    FleetRetryBudget of(ServiceName service) {
        return budgets.computeIfAbsent(
                service, unused -> new FleetRetryBudget(ratio, slack, windowMilliseconds));
    }
}
