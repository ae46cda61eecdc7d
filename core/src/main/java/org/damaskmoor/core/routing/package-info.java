/**
 * Selection of the target for a request at its entry node.
 *
 * <p>Start at {@link org.damaskmoor.core.routing.Router}.
 */
package org.damaskmoor.core.routing;
