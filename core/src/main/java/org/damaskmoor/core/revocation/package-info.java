/**
 * Proof that a node's configuration is recent enough to admit requests with API keys, although keys
 * may be removed at any time.
 *
 * <p>Start at {@link org.damaskmoor.core.revocation.FreshnessProof}.
 */
package org.damaskmoor.core.revocation;
