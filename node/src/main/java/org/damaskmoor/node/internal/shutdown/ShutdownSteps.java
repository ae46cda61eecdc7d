package org.damaskmoor.node.internal.shutdown;

import java.util.concurrent.CompletableFuture;
import java.util.function.LongFunction;
import java.util.function.Supplier;

/**
 * The steps of a graceful shutdown. Immutable and thread-safe.
 *
 * @param drainTarget makes the target proxy refuse new calls
 * @param closeEntry closes the caller port after the open requests have their responses
 * @param targetIdle whether no call is queued or running at the target proxy
 * @param flushAccounts flushes the accounting, within the given milliseconds
 * @param leave announces to the other nodes that this one leaves
 * @param closePorts closes all other ports
 */
public record ShutdownSteps(
        Runnable drainTarget,
        Supplier<CompletableFuture<Void>> closeEntry,
        Supplier<CompletableFuture<Boolean>> targetIdle,
        LongFunction<CompletableFuture<Void>> flushAccounts,
        Supplier<CompletableFuture<Void>> leave,
        Supplier<CompletableFuture<Void>> closePorts) {}
