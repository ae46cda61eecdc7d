package org.damaskmoor.node.internal.entry;

import org.damaskmoor.core.retry.HedgePolicy;
import org.damaskmoor.core.retry.RetryBudget;
import org.damaskmoor.core.routing.Router;

/**
 * What an entry node keeps for one service between requests. Confined to the caller event loop.
 *
 * @param router chooses targets
 * @param retryBudget bounds further attempts
 * @param hedgePolicy decides when to send a second attempt
 */
record ServiceRuntime(Router router, RetryBudget retryBudget, HedgePolicy hedgePolicy) {}
