package org.damaskmoor.node.internal.entry;

import java.util.function.LongSupplier;
import org.damaskmoor.node.internal.time.Timers;

/**
 * What an entry dispatcher works with, from outside of it. Used on the caller event loop.
 *
 * @param clock the monotonic clock, in nanoseconds
 * @param epochMilliseconds the wall clock
 * @param timers timers of the caller event loop
 * @param carrier sends frames to targets
 * @param refusals accounts for refusals
 * @param outcomes told how requests end
 */
public record EntryDependencies(
        LongSupplier clock,
        LongSupplier epochMilliseconds,
        Timers timers,
        TargetFrameSender carrier,
        RefusalRecorder refusals,
        OutcomeListener outcomes) {}
