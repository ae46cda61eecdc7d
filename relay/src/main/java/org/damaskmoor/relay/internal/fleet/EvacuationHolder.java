package org.damaskmoor.relay.internal.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.damaskmoor.core.evacuation.EvacuationDirectives;
import org.damaskmoor.core.id.DataCentreName;
import org.damaskmoor.platform.protocol.ConfigurationDecoder;
import org.damaskmoor.platform.protocol.StoredRow;
import org.damaskmoor.relay.internal.log.EventLog;
import org.damaskmoor.schema.link.OperatorDirectives;

/**
 * Holds which data centres are evacuated, from the rows of the operator's table and from other
 * nodes, and passes it on.
 *
 * <p>Confined to the event loop. Invariant: the listener receives each change of the set once.
 */
public final class EvacuationHolder implements TableWatch.Listener {
    private final EvacuationDirectives directives = new EvacuationDirectives();
    private final LongSupplier storeEra;
    private final EventLog log;
    private final Consumer<Set<DataCentreName>> listener;

    /**
     * Creates a holder that knows nothing.
     *
     * @param storeEra the newest era of the store
     * @param listener receives the evacuated data centres whenever they change
     */
    public EvacuationHolder(
            LongSupplier storeEra, EventLog log, Consumer<Set<DataCentreName>> listener) {
        this.storeEra = storeEra;
        this.log = log;
        this.listener = listener;
    }

    /** The evacuated data centres. */
    public Set<DataCentreName> evacuated() {
        return directives.evacuated();
    }

    @Override
    public void onSnapshot(List<StoredRow> rows, long version) {
        List<DataCentreName> dataCentres = new ArrayList<>();
        for (StoredRow row : rows) {
            ConfigurationDecoder.evacuatedDataCentre(row.key()).ifPresent(dataCentres::add);
        }
        if (directives.onStatement(storeEra.getAsLong(), version, dataCentres)) {
            onChanged("store");
        }
    }

    @Override
    public void onSnapshot(List<StoredRow> rows) {
        throw new IllegalStateException("a snapshot needs its version");
    }

    @Override
    public void onChange(StoredRow row) {
        Optional<DataCentreName> dataCentre = ConfigurationDecoder.evacuatedDataCentre(row.key());
        if (dataCentre.isPresent()
                && directives.onChange(
                        storeEra.getAsLong(), row.version(), dataCentre.get(), row.removed())) {
            onChanged("store");
        }
    }

    /** Another node told what it knows. */
    public void apply(OperatorDirectives received) {
        List<DataCentreName> dataCentres =
                received.getEvacuatedDataCentresList().stream()
                        .filter(name -> !name.isEmpty())
                        .map(DataCentreName::new)
                        .toList();
        if (directives.onStatement(
                received.getStoreEra(), received.getStoreVersion(), dataCentres)) {
            onChanged("peer");
        }
    }

    /** What this node knows, for other nodes; empty if it knows nothing. */
    public Optional<OperatorDirectives> message() {
        if (!directives.isKnown()) {
            return Optional.empty();
        }
        OperatorDirectives.Builder message =
                OperatorDirectives.newBuilder()
                        .setStoreEra(directives.era())
                        .setStoreVersion(directives.version());
        message.addAllEvacuatedDataCentres(sortedNames());
        return Optional.of(message.build());
    }

    private List<String> sortedNames() {
        return directives.evacuated().stream().map(DataCentreName::value).sorted().toList();
    }

    private void onChanged(String source) {
        log.event("evacuation-changed")
                .with("data_centres", sortedNames())
                .with("era", directives.era())
                .with("version", directives.version())
                .with("source", source)
                .write();
        listener.accept(directives.evacuated());
    }
}
