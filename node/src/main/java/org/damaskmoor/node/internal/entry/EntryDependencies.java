package org.damaskmoor.node.internal.entry;

import java.util.function.LongSupplier;
import org.damaskmoor.node.internal.time.Timers;

/**
 * External dependencies of an entry dispatcher. Used on the caller event loop.
 *
 * @param clock the monotonic clock, in nanoseconds
 * @param epochMilliseconds the wall clock
 * @param timers timers of the caller event loop
 * @param frameSender sends frames to targets
 * @param refusals records refusals
 * @param outcomes notified of the outcome of each request
 */
public record EntryDependencies(
        LongSupplier clock,
        LongSupplier epochMilliseconds,
        Timers timers,
        TargetFrameSender frameSender,
        RefusalRecorder refusals,
        OutcomeListener outcomes) {}
