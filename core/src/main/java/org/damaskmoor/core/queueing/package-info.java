/**
 * How calls wait beside an upstream that is full, and which are sent back.
 *
 * <p>Start at {@link org.damaskmoor.core.queueing.AdmissionQueue}.
 */
package org.damaskmoor.core.queueing;
