package org.damaskmoor.bench.link;

import java.util.List;
import org.damaskmoor.mesh.ChannelCustomizer;

/** Runs a node in this process. */
@FunctionalInterface
public interface NodeStarter {
    /**
     * Runs the node until it exits.
     *
     * @param flags the node's own flags
     * @param customizer receives all channels between nodes
     * @return the node's exit code
     */
    int run(List<String> flags, ChannelCustomizer customizer) throws Exception;
}
