package org.damaskmoor.relay.internal;

import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.damaskmoor.relay.internal.fleet.TableWatch;

/** The watches of the configuration and of the members. Confined to the event loop. */
final class NodeStoreWatches implements StoreWatches {
    private final Supplier<TableWatch> configuration;
    private final Supplier<TableWatch> members;
    private final BooleanSupplier storeLost;

    NodeStoreWatches(
            Supplier<TableWatch> configuration,
            Supplier<TableWatch> members,
            BooleanSupplier storeLost) {
        this.configuration = configuration;
        this.members = members;
        this.storeLost = storeLost;
    }

    @Override
    public boolean isStoreLost() {
        return storeLost.getAsBoolean();
    }

    @Override
    public boolean isConfigurationLost() {
        return configuration.get().isLost();
    }

    @Override
    public boolean wasAnsweredWithin(long milliseconds) {
        return configuration.get().wasAnsweredWithin(milliseconds);
    }

    @Override
    public void pollNow() {
        configuration.get().pollNow();
        members.get().pollNow();
    }

    @Override
    public void pollConfigurationNow() {
        configuration.get().pollNow();
    }

    @Override
    public void rereadMembers() {
        members.get().rereadTable();
    }

    @Override
    public void catchUp() {
        if (configuration.get().isWaiting()) {
            members.get().rereadTable();
        }
        configuration.get().catchUp();
    }
}
