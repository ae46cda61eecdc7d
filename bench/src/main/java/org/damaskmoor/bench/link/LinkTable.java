package org.damaskmoor.bench.link;

import io.netty.channel.Channel;
import io.netty.channel.socket.DatagramChannel;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.LongSupplier;
import org.damaskmoor.mesh.ChannelCustomizer;

/**
 * The emulated links of one process; adds the link handlers to each of its channels.
 *
 * <p>Invariants: connections between the same two regions share one rate; a new link file also
 * affects links in use. Thread safe.
 */
public final class LinkTable implements ChannelCustomizer {
    private final String ownDataCentre;
    private final LongSupplier nanoseconds;
    private final Map<String, LinkPair> links = new ConcurrentHashMap<>();
    private final Map<String, LinkRate> rates = new ConcurrentHashMap<>();
    private volatile LinkFile file;

    public LinkTable(String ownDataCentre, LinkFile file, LongSupplier nanoseconds) {
        this.ownDataCentre = ownDataCentre;
        this.file = file;
        this.nanoseconds = nanoseconds;
    }

    /** Applies a new link file to all links. */
    public void change(LinkFile newFile) {
        file = newFile;
        links.forEach(
                (dataCentre, pair) -> pair.change(newFile.profile(ownDataCentre, dataCentre)));
    }

    /** Returns the link to the address, or empty if it is not emulated. */
    public Optional<LinkPair> find(InetSocketAddress remote) {
        String dataCentre = file.dataCentre(remote.getPort());
        if (dataCentre.isEmpty() || dataCentre.equals(ownDataCentre)) {
            return Optional.empty();
        }
        return Optional.of(links.computeIfAbsent(dataCentre, this::open));
    }

    private LinkPair open(String dataCentre) {
        Link.Profile profile = file.profile(ownDataCentre, dataCentre);
        String group = file.rateGroup(ownDataCentre, dataCentre);
        return new LinkPair(
                new Link(profile, rate(group + " outgoing")),
                new Link(profile, rate(group + " incoming")));
    }

    private LinkRate rate(String name) {
        return rates.computeIfAbsent(name, any -> new LinkRate());
    }

    @Override
    public void customize(Channel channel, InetSocketAddress remote) {
        if (channel instanceof DatagramChannel) {
            channel.pipeline().addFirst(new DatagramLinkHandler(this::find, nanoseconds));
        } else if (remote != null) {
            find(remote)
                    .map(pair -> new StreamLinkHandler(pair, nanoseconds))
                    .ifPresent(channel.pipeline()::addFirst);
        }
    }
}
