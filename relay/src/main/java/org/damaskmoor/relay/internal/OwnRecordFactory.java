package org.damaskmoor.relay.internal;

import org.damaskmoor.core.id.Incarnation;
import org.damaskmoor.core.upstream.UpstreamAnnouncement;
import org.damaskmoor.relay.RelaySettings;
import org.damaskmoor.relay.internal.net.Addresses;
import org.damaskmoor.schema.link.FleetMember;

/** Creates this node's member record, with an increasing revision. Confined to the event loop. */
final class OwnRecordFactory {
    private final RelaySettings settings;
    private final Incarnation incarnation;
    private long revision;

    OwnRecordFactory(RelaySettings settings, Incarnation incarnation) {
        this.settings = settings;
        this.incarnation = incarnation;
    }

    /** The record that an incarnation of the upstream has left. */
    FleetMember createDeparture(UpstreamAnnouncement upstream) {
        return FleetMember.newBuilder()
                .setNodeId(settings.node().value())
                .setDataCentre(settings.dataCentre().value())
                .setUpstreamId(upstream.id().value())
                .setUpstreamStartEpochMilliseconds(upstream.startEpochMilliseconds())
                .setDeparted(true)
                .build();
    }

    FleetMember create(String service, int slots) {
        revision++;
        return FleetMember.newBuilder()
                .setNodeId(settings.node().value())
                .setIncarnation(incarnation.value())
                .setRevision(revision)
                .setAddress(Addresses.format(settings.advertisedLinks()))
                .setDataCentre(settings.dataCentre().value())
                .setRegion(settings.region().value())
                .setService(service)
                .setSlots(slots)
                .build();
    }
}
