package org.damaskmoor.node.internal.entry;

import org.damaskmoor.core.id.ServiceName;

/**
 * A hypothetical request whose routing an operator wants explained. Immutable and thread-safe.
 *
 * @param service the requested service
 * @param caller the name of the caller
 * @param method the HTTP method
 * @param path the path
 */
public record RequestDescription(ServiceName service, String caller, String method, String path) {}
