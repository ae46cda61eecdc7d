package org.damaskmoor.relay.internal.fleet;

import com.google.protobuf.ByteString;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.zip.DataFormatException;
import org.damaskmoor.core.routetable.RouteTable;
import org.damaskmoor.platform.protocol.ConfigurationDecoder;
import org.damaskmoor.platform.protocol.MalformedMessageException;
import org.damaskmoor.platform.protocol.StoredRow;
import org.damaskmoor.relay.internal.log.EventLog;

/**
 * Holds the configuration in force at this node, with its text, which peers may request.
 *
 * <p>Confined to the event loop. Invariant: the version never decreases.
 */
public final class ConfigurationHolder implements TableWatch.Listener {
    /** Greatest length of a configuration that a peer sends compressed. */
    private static final int MAX_TEXT_BYTES = 8 * 1024 * 1024;

    private final EventLog log;
    private final Consumer<RouteTable> listener;
    private ByteString text = ByteString.EMPTY;
    private ByteString compressedText = ByteString.EMPTY;
    private RouteTable table;

    /** Creates an empty holder; the listener receives each newer configuration. */
    public ConfigurationHolder(EventLog log, Consumer<RouteTable> listener) {
        this.log = log;
        this.listener = listener;
    }

    /** The configuration in force, or empty before the first one. */
    public Optional<RouteTable> table() {
        return Optional.ofNullable(table);
    }

    /** The version in force; 0 before the first one. */
    public long version() {
        return table == null ? 0 : table.version();
    }

    /** The text of the configuration in force, as the operator wrote it. */
    public ByteString text() {
        return text;
    }

    /** The text of the configuration in force, compressed. */
    public ByteString compressedText() {
        if (compressedText.isEmpty()) {
            compressedText = TextCompression.compress(text);
        }
        return compressedText;
    }

    /** Puts a compressed configuration in force if it is newer and valid. */
    public void applyCompressedIfNewer(ByteString candidate, String source) {
        if (candidate.isEmpty()) {
            return;
        }
        try {
            applyIfNewer(TextCompression.decompress(candidate, MAX_TEXT_BYTES), source);
        } catch (DataFormatException invalid) {
            log.event("configuration-rejected")
                    .with("source", source)
                    .with("cause", invalid.getMessage())
                    .write();
        }
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
    public void applyIfNewer(ByteString candidate, String source) {
        if (candidate.isEmpty() || candidate.equals(text)) {
            return;
        }
        try {
            RouteTable decoded =
                    ConfigurationDecoder.decode(candidate.toString(StandardCharsets.UTF_8));
            if (table != null && decoded.version() <= table.version()) {
                log.event("configuration-older")
                        .with("version", decoded.version())
                        .with("in_force", table.version())
                        .with("source", source)
                        .write();
                return;
            }
            table = decoded;
            text = candidate;
            compressedText = ByteString.EMPTY;
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
