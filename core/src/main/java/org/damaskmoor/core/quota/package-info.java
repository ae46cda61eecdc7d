/**
 * Limits of the rate of a tenant's requests across all nodes.
 *
 * <p>Start at {@link org.damaskmoor.core.quota.EntryQuotas} for the side that admits requests and
 * at {@link org.damaskmoor.core.quota.QuotaCoordinator} for the side that divides a limit.
 */
package org.damaskmoor.core.quota;
