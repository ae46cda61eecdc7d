package org.damaskmoor.core.tenancy;

import java.util.List;
import java.util.Optional;
import org.damaskmoor.core.tenancy.Authentication.Detail;
import org.damaskmoor.core.tenancy.Authentication.Outcome;

/**
 * Decides whether a request may go on and which tenant it belongs to.
 *
 * <pre>{@code
 * Authenticator.authenticate(tenants, route.isPublic(), List.of("Bearer 7f3a"), true);
 * }</pre>
 *
 * <p>Load pattern: each request of a caller, 150,000 a second over all nodes, with up to 10,000
 * tenants; one lookup in a hash table. Most requests carry one valid key; calls of upstreams carry
 * none and use public routes.
 *
 * <p>Invariants: without a list of tenants, every request is admitted without a tenant; with an
 * empty one, only requests of public routes are. A public route never refuses. A tenant is returned
 * only with proof that the key set is fresh. The result does not contain the key. Thread-safe: pure
 * functions.
 */
public final class Authenticator {
    private static final String SCHEME = "Bearer";

    private Authenticator() {}

    /**
     * Checks the credentials of a request.
     *
     * @param tenants the tenants in force
     * @param publicRoute whether the route of the request needs no key
     * @param credentials the values of all its {@code Authorization} headers
     * @param proven whether there is proof that no key has been removed for too long
     */
    public static Authentication authenticate(
            TenantTable tenants, boolean publicRoute, List<String> credentials, boolean proven) {
        if (!tenants.requiresKeys()) {
            return Authentication.admitted(Optional.empty(), Detail.NOT_CHECKED);
        }
        Authentication checked = check(tenants, credentials, proven);
        return publicRoute ? Authentication.admitted(checked.tenant(), checked.detail()) : checked;
    }

    /** Whether any of the credentials has the scheme of API keys. */
    public static boolean containKey(List<String> credentials) {
        return credentials.stream().anyMatch(value -> isKeyScheme(scheme(value.strip())));
    }

    private static Authentication check(
            TenantTable tenants, List<String> credentials, boolean proven) {
        if (credentials.isEmpty()) {
            return Authentication.refused(Outcome.UNAUTHENTICATED, Detail.MISSING);
        }
        if (credentials.size() > 1) {
            return Authentication.refused(Outcome.UNAUTHENTICATED, Detail.DUPLICATED);
        }
        String value = credentials.get(0).strip();
        String scheme = scheme(value);
        if (!isKeyScheme(scheme)) {
            return Authentication.refused(Outcome.UNAUTHENTICATED, Detail.OTHER_SCHEME);
        }
        String key = value.substring(scheme.length()).strip();
        if (key.isEmpty() || key.chars().anyMatch(Character::isWhitespace)) {
            return Authentication.refused(Outcome.UNAUTHENTICATED, Detail.MALFORMED);
        }
        if (!proven) {
            return Authentication.refused(Outcome.UNPROVEN, Detail.UNPROVEN);
        }
        Optional<Tenant> holder = tenants.holderOf(new ApiKey(key));
        return holder.isPresent()
                ? Authentication.admitted(holder, Detail.KNOWN)
                : Authentication.refused(Outcome.UNAUTHENTICATED, Detail.UNKNOWN);
    }

    private static String scheme(String value) {
        int space = value.indexOf(' ');
        return space < 0 ? value : value.substring(0, space);
    }

    /** Names of schemes are case-insensitive (RFC 9110, section 11.1). */
    private static boolean isKeyScheme(String scheme) {
        return scheme.equalsIgnoreCase(SCHEME);
    }
}
