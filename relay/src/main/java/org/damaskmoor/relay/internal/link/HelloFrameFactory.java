package org.damaskmoor.relay.internal.link;

import java.util.function.LongSupplier;
import org.damaskmoor.core.id.Incarnation;
import org.damaskmoor.core.id.NodeId;
import org.damaskmoor.schema.link.LinkFrame;
import org.damaskmoor.schema.link.LinkHello;

/** Makes the first frame of each link; each has a greater number. Confined to the event loop. */
final class HelloFrameFactory {
    private final NodeId self;
    private final Incarnation incarnation;
    private final LongSupplier configurationVersion;
    private long links;

    HelloFrameFactory(NodeId self, Incarnation incarnation, LongSupplier configurationVersion) {
        this.self = self;
        this.incarnation = incarnation;
        this.configurationVersion = configurationVersion;
    }

    LinkFrame frame(String expectedNode) {
        links++;
        return LinkFrame.newBuilder()
                .setHello(
                        LinkHello.newBuilder()
                                .setNodeId(self.value())
                                .setIncarnation(incarnation.value())
                                .setLinkNumber(links)
                                .setExpectedNodeId(expectedNode)
                                .setConfigurationVersion(configurationVersion.getAsLong()))
                .build();
    }
}
