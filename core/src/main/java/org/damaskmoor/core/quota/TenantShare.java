package org.damaskmoor.core.quota;

import org.damaskmoor.core.id.TenantName;

/**
 * The share of a tenant's limit that a coordinator grants to one entry. Immutable and thread-safe.
 *
 * @param tenant the tenant
 * @param limited whether the entry must keep to the share; otherwise the share tells how many
 *     admissions it may have unacknowledged
 * @param perSecond requests a second
 */
public record TenantShare(TenantName tenant, boolean limited, double perSecond) {}
