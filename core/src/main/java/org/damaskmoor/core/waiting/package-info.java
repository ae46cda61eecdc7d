/**
 * How calls wait beside an upstream that is full, and which are sent back.
 *
 * <p>Start at {@link org.damaskmoor.core.waiting.WaitingRoom}.
 */
package org.damaskmoor.core.waiting;
