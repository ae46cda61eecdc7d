/**
 * Tenants: who a caller is by its API key, and what the operator grants to each tenant.
 *
 * <p>Start at {@link org.damaskmoor.core.tenancy.TenantTable}.
 */
package org.damaskmoor.core.tenancy;
