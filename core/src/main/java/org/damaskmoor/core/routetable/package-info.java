/**
 * Route matching: hosts, path prefixes, and the services behind them.
 *
 * <p>Start at {@link org.damaskmoor.core.routetable.RouteTable}.
 */
package org.damaskmoor.core.routetable;
