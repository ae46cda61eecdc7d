package org.damaskmoor.core.configuration;

import java.util.List;
import org.damaskmoor.core.id.NodeId;

/** Sends a {@code ConfigurationRequest} to a peer over the mesh. Must not block. */
@FunctionalInterface
public interface ConfigurationRequester {
    /**
     * Sends a request to a peer; the answer or failure is passed to {@link ConfigurationPuller}.
     *
     * @param services names of services; empty: all
     */
    void request(NodeId peer, List<String> services);
}
