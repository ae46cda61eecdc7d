/**
 * Queueing of calls in front of an upstream that is at its concurrency limit.
 *
 * <p>Start at {@link org.damaskmoor.core.queueing.AdmissionQueue}.
 */
package org.damaskmoor.core.queueing;
