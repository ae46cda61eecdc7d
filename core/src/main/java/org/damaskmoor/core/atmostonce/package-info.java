/**
 * At-most-once execution of requests: the target's ledger of calls and the entry node's state of
 * one request across all of its attempts.
 *
 * <p>Both are plain state machines without I/O, threads or clocks of their own. The protocol is
 * model-checked in {@code spec/once/once.pml}.
 */
package org.damaskmoor.core.atmostonce;
