package org.damaskmoor.relay.internal.fleet;

import com.google.protobuf.ByteString;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.damaskmoor.core.routetable.RouteTable;
import org.damaskmoor.platform.protocol.ConfigurationDecoder;
import org.damaskmoor.platform.protocol.MalformedMessageException;
import org.damaskmoor.platform.protocol.StoredRow;
import org.damaskmoor.relay.internal.log.EventLog;

/**
 * The configuration in force at this node, with the text that peers may ask for.
 *
 * <p>Confined to the event loop. Invariant: its version never falls.
 */
public final class ConfigurationHolder implements TableWatch.Listener {
    private final EventLog log;
    private final Consumer<RouteTable> listener;
    private ByteString text = ByteString.EMPTY;
    private RouteTable table;

    /** Creates a holder; the listener hears of each newer configuration. */
    public ConfigurationHolder(EventLog log, Consumer<RouteTable> listener) {
        this.log = log;
        this.listener = listener;
    }

    /** The configuration in force, or empty before the first one. */
    public Optional<RouteTable> table() {
        return Optional.ofNullable(table);
    }

    /** Its version; 0 before the first one. */
    public long version() {
        return table == null ? 0 : table.version();
    }

    /** Its text, as the operator wrote it. */
    public ByteString text() {
        return text;
    }

    @Override
    public void onSnapshot(List<StoredRow> rows) {
        rows.forEach(this::onChange);
    }

    @Override
    public void onChange(StoredRow row) {
        if (row.key().equals(ConfigurationDecoder.KEY) && !row.removed()) {
            applyIfNewer(row.value(), "store");
        }
    }

    /** Puts a configuration in force if it is newer and valid. */
    public void applyIfNewer(ByteString offered, String source) {
        if (offered.isEmpty() || offered.equals(text)) {
            return;
        }
        try {
            RouteTable decoded =
                    ConfigurationDecoder.decode(offered.toString(StandardCharsets.UTF_8));
            if (table != null && decoded.version() <= table.version()) {
                log.event("configuration-older")
                        .with("version", decoded.version())
                        .with("in_force", table.version())
                        .with("source", source)
                        .write();
                return;
            }
            table = decoded;
            text = offered;
            log.event("configuration-in-force")
                    .with("version", table.version())
                    .with("routes", table.routes().size())
                    .with("source", source)
                    .write();
            listener.accept(table);
        } catch (MalformedMessageException invalid) {
            log.event("configuration-rejected")
                    .with("source", source)
                    .with("cause", invalid.getMessage())
                    .write();
        }
    }
}
