/** Bounds on further attempts at a request: retries, hedges and deadlines. */
package org.damaskmoor.core.retry;
