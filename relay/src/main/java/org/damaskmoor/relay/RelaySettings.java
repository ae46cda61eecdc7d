package org.damaskmoor.relay;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.damaskmoor.core.id.DataCentreName;
import org.damaskmoor.core.id.NodeId;
import org.damaskmoor.core.id.RegionName;
import org.damaskmoor.core.id.ServiceName;

/**
 * Validated settings of one relay. Immutable and thread-safe.
 *
 * @param node id of this node
 * @param region region of its VM
 * @param dataCentre data centre of its VM
 * @param service service of the upstream on the same VM
 * @param callers address for requests of callers
 * @param links address for links from other nodes
 * @param advertisedLinks link address that other nodes use; differs from {@code links} behind a
 *     proxy
 * @param readiness address for the platform's readiness checks
 * @param announcements address for announcements of the upstream
 * @param upstream address of the upstream
 * @param store address of the platform's metadata store
 * @param metrics address for metrics; empty if they are not served
 * @param seeds VMs on which other nodes may run, asked while the store does not answer
 * @param drainMilliseconds how long a leaving upstream still gets calls, from the acknowledgement
 * @param stopMilliseconds longest duration of a planned stop
 * @param retryRatio retries allowed for each request, over all nodes
 * @param retrySlack retries allowed in addition, over all nodes and a window
 * @param retryWindowMilliseconds length of that window
 * @param healthChecksPerSecond greatest rate of health checks of the upstream
 * @param maxAnswerBytes greatest length of the body of an upstream's answer
 * @param revocationMilliseconds time after which the removal of an API key holds on every node,
 *     whatever fails; empty if nodes may go on without proof that their configuration is the newest
 * @param coldLimits whether cold upstreams may have to be paced, so that calls wait for the
 *     configuration, which tells how, after the node has started
 * @param egressControl whether entries limit the calls that leave their data centre
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
        double healthChecksPerSecond,
        long maxAnswerBytes,
        OptionalLong revocationMilliseconds,
        boolean coldLimits,
        boolean egressControl) {
    /** {@code maxAnswerBytes} if the settings don't say: fits several times into a small heap. */
    public static final long DEFAULT_MAX_ANSWER_BYTES = 8 * 1024 * 1024;

    public RelaySettings {
        seeds = List.copyOf(seeds);
    }
}
