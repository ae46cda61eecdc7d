package org.damaskmoor.relay;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import org.damaskmoor.core.id.DataCentreName;
import org.damaskmoor.core.id.NodeId;
import org.damaskmoor.core.id.RegionName;
import org.damaskmoor.core.id.ServiceName;

/**
 * Settings of one relay, checked. Immutable and thread-safe.
 *
 * @param node name of this node
 * @param region region of its VM
 * @param dataCentre data centre of its VM
 * @param service service of the upstream on the same VM
 * @param callers where callers send their requests
 * @param links where this node waits for links of other nodes
 * @param advertisedLinks where other nodes find it; differs behind a proxy
 * @param readiness where the platform asks whether this node takes callers
 * @param announcements where the upstream announces itself
 * @param upstream where the upstream serves
 * @param store the platform's metadata store
 * @param metrics where counters are served, or empty for nowhere
 * @param seeds VMs on which other nodes may be found when the store does not answer
 * @param drainMilliseconds how long a leaving upstream still takes calls, from the acknowledgement
 * @param stopMilliseconds time that a planned stop may take
 * @param retryRatio further attempts for each request, over all nodes
 * @param retrySlack further attempts beside those, over all nodes and a window
 * @param retryWindowMilliseconds length of that window
 * @param healthChecksPerSecond most health checks of the upstream in a second
 */
public record RelaySettings(
        NodeId node,
        RegionName region,
        DataCentreName dataCentre,
        ServiceName service,
        InetSocketAddress callers,
        InetSocketAddress links,
        InetSocketAddress advertisedLinks,
        InetSocketAddress readiness,
        InetSocketAddress announcements,
        InetSocketAddress upstream,
        InetSocketAddress store,
        Optional<InetSocketAddress> metrics,
        List<String> seeds,
        long drainMilliseconds,
        long stopMilliseconds,
        double retryRatio,
        double retrySlack,
        long retryWindowMilliseconds,
        double healthChecksPerSecond) {
    public RelaySettings {
        seeds = List.copyOf(seeds);
    }
}
