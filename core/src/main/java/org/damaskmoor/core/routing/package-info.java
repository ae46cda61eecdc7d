/**
 * Choice of the target of a request at its entry node.
 *
 * <p>Start at {@link org.damaskmoor.core.routing.Router}.
 */
package org.damaskmoor.core.routing;
