package org.damaskmoor.relay.internal;

import java.util.Set;
import java.util.function.Supplier;
import org.damaskmoor.core.id.DataCentreName;
import org.damaskmoor.relay.internal.fleet.EvacuationHolder;
import org.damaskmoor.relay.internal.fleet.FleetDirectory;
import org.damaskmoor.relay.internal.fleet.StoreEra;
import org.damaskmoor.relay.internal.log.EventLog;
import org.damaskmoor.relay.internal.target.TargetCallHandler;
import org.damaskmoor.schema.link.FleetNews;
import org.damaskmoor.schema.link.ReaderSign;

/**
 * Applies evacuations at this node: its entry sends no calls to evacuated data centres, its target
 * accepts none if its own data centre is evacuated, and readers tell the other nodes.
 *
 * <p>Confined to the event loop.
 */
final class NodeEvacuations {
    private final DataCentreName own;
    private final EvacuationHolder holder;
    private final FleetDirectory fleet;
    private final TargetCallHandler target;
    private final Supplier<StoreReaderCoordinator> reader;

    NodeEvacuations(
            DataCentreName own,
            StoreEra storeEra,
            FleetDirectory fleet,
            TargetCallHandler target,
            Supplier<StoreReaderCoordinator> reader,
            EventLog log) {
        this.own = own;
        this.holder = new EvacuationHolder(storeEra::current, log, this::onChanged);
        this.fleet = fleet;
        this.target = target;
        this.reader = reader;
    }

    /** Holds what the store and other nodes told. */
    EvacuationHolder holder() {
        return holder;
    }

    /** Whether the data centre of this node is evacuated. */
    boolean isEvacuated() {
        return holder.evacuated().contains(own);
    }

    /** A reader sent its heartbeat. */
    void onReaderSign(ReaderSign sign) {
        if (sign.hasDirectives()) {
            holder.apply(sign.getDirectives());
        }
        reader.get().onReaderSign(sign);
    }

    /** Adds what this node knows to the answer to a peer. */
    FleetNews addTo(FleetNews answer) {
        return holder.message()
                .map(directives -> answer.toBuilder().setDirectives(directives).build())
                .orElse(answer);
    }

    /** A peer sent what it knows. */
    void onFleetNews(FleetNews received) {
        if (received.hasDirectives()) {
            holder.apply(received.getDirectives());
        }
    }

    private void onChanged(Set<DataCentreName> evacuated) {
        boolean wasEvacuated = fleet.evacuated().contains(own);
        fleet.setEvacuated(evacuated);
        if (isEvacuated() != wasEvacuated) {
            target.onEvacuation(isEvacuated());
        }
        reader.get().onOperatorChange();
    }
}
