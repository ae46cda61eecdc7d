package org.damaskmoor.node.internal.shutdown;

import java.util.concurrent.CompletableFuture;
import java.util.function.LongFunction;
import java.util.function.Supplier;

/**
 * The steps of a planned stop. Immutable and thread-safe.
 *
 * @param drainTarget makes the target part bounce new calls
 * @param closeEntry closes the callers' port when the open requests have their replies
 * @param targetIdle whether nothing waits and nothing runs at the target part
 * @param flushAccounts writes what is accounted, within the given milliseconds
 * @param leave tells the other nodes that this one leaves
 * @param closePorts closes all other ports
 */
public record ShutdownSteps(
        Runnable drainTarget,
        Supplier<CompletableFuture<Void>> closeEntry,
        Supplier<CompletableFuture<Boolean>> targetIdle,
        LongFunction<CompletableFuture<Void>> flushAccounts,
        Supplier<CompletableFuture<Void>> leave,
        Supplier<CompletableFuture<Void>> closePorts) {}
