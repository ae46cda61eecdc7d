package org.damaskmoor.node.internal.entry;

import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import org.damaskmoor.core.retry.HedgePolicy;
import org.damaskmoor.core.retry.RetryBudget;
import org.damaskmoor.core.routing.Router;

/**
 * What an entry node keeps for one service between requests.
 *
 * <p>Confined to the caller event loop.
 */
final class ServiceRuntime {
    private final Router router;
    private final RetryBudget retryBudget;
    private final HedgePolicy hedgePolicy;

    ServiceRuntime(Router router, RetryBudget retryBudget, HedgePolicy hedgePolicy) {
        this.router = router;
        this.retryBudget = retryBudget;
        this.hedgePolicy = hedgePolicy;
    }

    Router router() {
        return router;
    }

    RetryBudget retryBudget() {
        return retryBudget;
    }

    void onLatency(long nanoseconds) {
        hedgePolicy.onLatency(nanoseconds);
    }

    OptionalLong hedgeDelayMilliseconds() {
        OptionalLong delay = hedgePolicy.delayNanoseconds();
        return delay.isEmpty()
                ? OptionalLong.empty()
                : OptionalLong.of(1 + TimeUnit.NANOSECONDS.toMillis(delay.getAsLong()));
    }
}
