/**
 * Quarantine of requests that crash the upstreams that run them.
 *
 * <p>Start at {@link org.damaskmoor.core.quarantine.Quarantine}.
 */
package org.damaskmoor.core.quarantine;
