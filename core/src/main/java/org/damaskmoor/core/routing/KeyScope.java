package org.damaskmoor.core.routing;

/** The set of targets among which an idempotency key is assigned to one. */
public enum KeyScope {
    /**
     * All targets of the service. Every entry node assigns the key to the same target. For keys
     * that have no claim to prevent a second execution.
     */
    ALL_REGIONS,
    /**
     * Targets of the entry node's region as long as it has any. Entry nodes of different regions
     * may assign a key to different targets, which saves traffic between regions. For keys that are
     * claimed before their request runs.
     */
    REGION_FIRST
}
