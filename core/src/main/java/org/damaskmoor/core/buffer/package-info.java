/**
 * Bounds on the memory of messages that are read in parts.
 *
 * <p>Start at {@link org.damaskmoor.core.buffer.BufferBudget}.
 */
package org.damaskmoor.core.buffer;
