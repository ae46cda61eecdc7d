/**
 * Limits of the calls that an entry sends to another data centre, learned from what it refuses.
 *
 * <p>Start at {@link org.damaskmoor.core.egress.EgressControl}.
 */
package org.damaskmoor.core.egress;
