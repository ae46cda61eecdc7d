/** Limits on retries and hedges: budgets, rules and deadlines. */
package org.damaskmoor.core.retry;
