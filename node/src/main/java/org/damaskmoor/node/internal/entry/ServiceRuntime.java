package org.damaskmoor.node.internal.entry;

import org.damaskmoor.core.retry.HedgePolicy;
import org.damaskmoor.core.retry.RetryBudget;
import org.damaskmoor.core.routing.Router;

/**
 * State that an entry node keeps for one service across requests. Confined to the caller event
 * loop.
 *
 * @param router chooses targets
 * @param retryBudget limits further attempts
 * @param hedgePolicy decides when to send a hedge
 */
record ServiceRuntime(Router router, RetryBudget retryBudget, HedgePolicy hedgePolicy) {}
