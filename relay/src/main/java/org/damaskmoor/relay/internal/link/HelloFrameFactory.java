package org.damaskmoor.relay.internal.link;

import java.util.function.LongSupplier;
import org.damaskmoor.core.id.Incarnation;
import org.damaskmoor.core.id.NodeId;
import org.damaskmoor.schema.link.LinkFrame;
import org.damaskmoor.schema.link.LinkHello;

/**
 * Creates the first frame of each link, with an increasing link number. Confined to the event loop.
 */
final class HelloFrameFactory {
    private final NodeId self;
    private final Incarnation incarnation;
    private final LongSupplier configurationVersion;
    private long lastLinkNumber;

    HelloFrameFactory(NodeId self, Incarnation incarnation, LongSupplier configurationVersion) {
        this.self = self;
        this.incarnation = incarnation;
        this.configurationVersion = configurationVersion;
    }

    LinkFrame create(String expectedNodeId) {
        lastLinkNumber++;
        return LinkFrame.newBuilder()
                .setHello(
                        LinkHello.newBuilder()
                                .setNodeId(self.value())
                                .setIncarnation(incarnation.value())
                                .setLinkNumber(lastLinkNumber)
                                .setExpectedNodeId(expectedNodeId)
                                .setConfigurationVersion(configurationVersion.getAsLong()))
                .build();
    }
}
