package org.damaskmoor.soak;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.damaskmoor.platform.standin.ConfigurationJson;
import org.damaskmoor.soak.verification.KeyLifetime;
import org.damaskmoor.soak.verification.TenantChecker;

/**
 * The tenants of a soak run with their keys. Each version of the configuration adds a key, named
 * after the version, and removes the one that was added two versions before. Thread-safe: pure
 * functions.
 */
final class SoakTenants {
    static final long REVOCATION_MILLISECONDS = 5000;
    static final String COLD_START = "3s";
    static final long COLD_START_MILLISECONDS = 3000;
    static final double COLD_PER_SECOND = 8;

    /** Part of each key, by which upstreams recognise one. */
    static final String KEY_MARK = "-apikey-";

    static final String PUBLIC_PREFIX = "/public/";

    private static final String WIDE = "wide";
    private static final String NARROW = "narrow";
    private static final String REGIONAL = "regional";
    private static final String CONSTANT = "constant";
    private static final String ALLOWED_REGION = "region-0";

    /** Far more than all callers send. */
    private static final double WIDE_PER_SECOND = 5000;

    /** About a quarter of what the callers of the tenant send. */
    private static final double NARROW_PER_SECOND = 20;

    private static final int KEY_LIFETIME_VERSIONS = 2;

    /** Most versions since the removal of a key that is still sent. */
    private static final int OLD_VERSIONS = 8;

    private static final int PER_CENT = 100;

    private SoakTenants() {}

    private static String key(String tenant, Object name) {
        return tenant + KEY_MARK + name;
    }

    /** Returns a configuration with the tenants, a public route and further routes. */
    static String configuration(int version, String moreRoutes) {
        String routes =
                ","
                        + ConfigurationJson.publicRoute("public", PUBLIC_PREFIX, "idempotent")
                        + moreRoutes;
        String configuration =
                ConfigurationJson.withColdLimit(
                        ConfigurationJson.of(version, routes), COLD_START, COLD_PER_SECOND);
        return ConfigurationJson.withTenants(
                configuration,
                ConfigurationJson.limitedTenant(
                        WIDE,
                        WIDE_PER_SECOND,
                        key(WIDE, CONSTANT),
                        key(WIDE, version),
                        key(WIDE, version - 1)),
                ConfigurationJson.limitedTenant(NARROW, NARROW_PER_SECOND, key(NARROW, CONSTANT)),
                ConfigurationJson.regionalTenant(
                        REGIONAL, ALLOWED_REGION, key(REGIONAL, CONSTANT)));
    }

    /** Returns a key to send, which may be removed or unknown; empty for none. */
    static String anyKey(int version, RandomGenerator random) {
        int choice = random.nextInt(PER_CENT);
        int age = random.nextInt(OLD_VERSIONS);
        if (choice < 45) {
            return key(WIDE, CONSTANT);
        }
        if (choice < 60) {
            return key(NARROW, CONSTANT);
        }
        if (choice < 75) {
            return key(REGIONAL, CONSTANT);
        }
        if (choice < 83) {
            return key(WIDE, version);
        }
        if (choice < 93) {
            return key(WIDE, Math.max(0, version - KEY_LIFETIME_VERSIONS - age));
        }
        return choice < 96 ? key(WIDE, "unknown-" + age) : "";
    }

    /** Returns what is configured, for the checker. */
    static TenantChecker.Rules rules(Map<Integer, Long> storedAt, Set<Integer> regionalRelays) {
        Map<String, KeyLifetime> keys = new HashMap<>();
        for (String tenant : Set.of(WIDE, NARROW, REGIONAL)) {
            keys.put(key(tenant, CONSTANT), new KeyLifetime(tenant, KeyLifetime.IN_FORCE));
        }
        for (int version = 0; version <= storedAt.size(); version++) {
            long removedAt =
                    storedAt.getOrDefault(version + KEY_LIFETIME_VERSIONS, KeyLifetime.IN_FORCE);
            keys.put(key(WIDE, version), new KeyLifetime(WIDE, removedAt));
        }
        return new TenantChecker.Rules(
                keys, REVOCATION_MILLISECONDS, NARROW, NARROW_PER_SECOND, REGIONAL, regionalRelays);
    }
}
