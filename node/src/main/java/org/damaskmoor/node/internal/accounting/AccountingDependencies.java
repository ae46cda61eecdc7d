package org.damaskmoor.node.internal.accounting;

import java.util.concurrent.Executor;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;
import org.damaskmoor.core.accounting.RefusalBatchSender;
import org.damaskmoor.node.internal.time.Timers;
import org.damaskmoor.platform.ObjectStore;

/**
 * External dependencies of the accounting.
 *
 * @param clock the monotonic clock, in nanoseconds
 * @param epochMilliseconds the wall clock
 * @param callers runs tasks on the caller event loop; must not drop them
 * @param accounting runs tasks on the accounting event loop; must not drop them
 * @param timers timers of the accounting event loop
 * @param peers the nodes that can store this node's refusals
 * @param sender sends batches to peers
 * @param store receives the flushed refusals and request counts
 * @param flushIntervalNanoseconds time between flushes
 * @param random adds jitter to flushes and chooses among peers
 */
public record AccountingDependencies(
        LongSupplier clock,
        LongSupplier epochMilliseconds,
        Executor callers,
        Executor accounting,
        Timers timers,
        AccountingPeers peers,
        RefusalBatchSender sender,
        ObjectStore store,
        long flushIntervalNanoseconds,
        RandomGenerator random) {}
