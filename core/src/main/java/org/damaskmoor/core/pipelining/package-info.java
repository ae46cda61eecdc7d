/**
 * Order of requests and answers on a caller's connection.
 *
 * <p>Start at {@link org.damaskmoor.core.pipelining.RequestPipeline}.
 */
package org.damaskmoor.core.pipelining;
