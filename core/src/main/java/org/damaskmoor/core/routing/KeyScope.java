package org.damaskmoor.core.routing;

/** Among which targets a key has its place. */
public enum KeyScope {
    /**
     * All targets of the service: every entry node places the key alike. For a key that nothing
     * else guards against a second run.
     */
    ALL_REGIONS,
    /**
     * Targets of the entry node's region while there are any: entry nodes of different regions
     * place a key differently, and spare the link between them. For a key that is claimed before
     * its request runs.
     */
    REGION_FIRST
}
