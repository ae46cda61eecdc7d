package org.damaskmoor.node.internal.entry;

import org.damaskmoor.core.id.ServiceName;

/**
 * A request that an operator asks about. Immutable and thread-safe.
 *
 * @param service the service that it is for
 * @param caller who would send it
 * @param method its method
 * @param path its path
 */
public record RequestDescription(ServiceName service, String caller, String method, String path) {}
