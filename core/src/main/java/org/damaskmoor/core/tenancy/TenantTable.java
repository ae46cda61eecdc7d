package org.damaskmoor.core.tenancy;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.damaskmoor.core.id.TenantName;

/**
 * The tenants of one version of the operator's configuration.
 *
 * <p>A configuration without a list of tenants asks for no keys. One whose list is empty asks for
 * keys and admits none.
 *
 * <p>Invariant: no key belongs to two tenants. Immutable and thread-safe.
 */
public final class TenantTable {
    /** A configuration without a list of tenants: requests need no key. */
    public static final TenantTable NOT_CONFIGURED = new TenantTable(false);

    /** Nobody has a key, but requests need one. */
    public static final TenantTable NOBODY = new TenantTable(true);

    private final Map<TenantName, Tenant> byName = new HashMap<>();
    private final Map<ApiKey, Tenant> byKey = new HashMap<>();

    private final boolean requiresKeys;

    private TenantTable(boolean requiresKeys) {
        this.requiresKeys = requiresKeys;
    }

    /**
     * Creates a table of a configuration with a list of tenants, which may be empty.
     *
     * @throws IllegalArgumentException when two tenants share a name or a key
     */
    public static TenantTable of(Collection<Tenant> tenants) {
        TenantTable table = new TenantTable(true);
        tenants.forEach(table::add);
        return table;
    }

    private void add(Tenant tenant) {
        if (byName.putIfAbsent(tenant.name(), tenant) != null) {
            throw new IllegalArgumentException("Two tenants are named " + tenant.name() + ".");
        }
        for (ApiKey key : tenant.keys()) {
            Tenant other = byKey.putIfAbsent(key, tenant);
            if (other != null) {
                throw new IllegalArgumentException(
                        "Tenants " + other.name() + " and " + tenant.name() + " share an API key.");
            }
        }
    }

    /** Whether requests need a key, also if no tenant has one. */
    public boolean requiresKeys() {
        return requiresKeys;
    }

    /** Whether there is any tenant. */
    public boolean hasTenants() {
        return !byName.isEmpty();
    }

    /** Whether any tenant has a limited quota. */
    public boolean hasQuotas() {
        return byName.values().stream().anyMatch(tenant -> tenant.quota().isLimited());
    }

    /** All tenants. */
    public Collection<Tenant> all() {
        return byName.values();
    }

    /** Returns the tenant with a name, or empty if there is none. */
    public Optional<Tenant> find(TenantName name) {
        return Optional.ofNullable(byName.get(name));
    }

    /** Returns the tenant that holds a key, or empty if none does. */
    public Optional<Tenant> holderOf(ApiKey key) {
        return Optional.ofNullable(byKey.get(key));
    }
}
