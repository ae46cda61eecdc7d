package org.damaskmoor.relay.internal.fleet;

import java.util.List;
import org.damaskmoor.platform.protocol.StoredRow;

/**
 * Passes the rows of the operator's table on, first to the evacuations: a node that has a
 * configuration and is ready for callers then knows them.
 *
 * <p>Confined to the event loop.
 */
public final class OperatorTableListener implements TableWatch.Listener {
    private final EvacuationHolder evacuations;
    private final ConfigurationHolder configuration;

    public OperatorTableListener(EvacuationHolder evacuations, ConfigurationHolder configuration) {
        this.evacuations = evacuations;
        this.configuration = configuration;
    }

    @Override
    public void onSnapshot(List<StoredRow> rows, long version) {
        evacuations.onSnapshot(rows, version);
        configuration.onSnapshot(rows, version);
    }

    @Override
    public void onSnapshot(List<StoredRow> rows) {
        configuration.onSnapshot(rows);
    }

    @Override
    public void onChange(StoredRow row) {
        evacuations.onChange(row);
        configuration.onChange(row);
    }

    @Override
    public void onCurrent(long storeTimeMilliseconds) {
        configuration.onCurrent(storeTimeMilliseconds);
    }
}
