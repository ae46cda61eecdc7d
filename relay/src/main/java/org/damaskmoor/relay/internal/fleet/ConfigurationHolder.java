package org.damaskmoor.relay.internal.fleet;

import com.google.protobuf.ByteString;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.zip.DataFormatException;
import org.damaskmoor.core.routetable.CallerLimits;
import org.damaskmoor.core.routetable.RouteTable;
import org.damaskmoor.platform.protocol.ConfigurationDecoder;
import org.damaskmoor.platform.protocol.MalformedMessageException;
import org.damaskmoor.platform.protocol.StoredRow;
import org.damaskmoor.relay.internal.link.ConfigurationSource;
import org.damaskmoor.relay.internal.log.EventLog;

/**
 * Holds the configuration in force at this node, with its text, which peers may request.
 *
 * <p>Confined to the event loop. Invariant: the version never decreases.
 */
public final class ConfigurationHolder implements TableWatch.Listener, ConfigurationSource {
    /** Greatest length of a configuration that a peer sends compressed. */
    private static final int MAX_TEXT_BYTES = 8 * 1024 * 1024;

    private static final StoredRow NO_ROW =
            new StoredRow(ConfigurationDecoder.KEY, ByteString.EMPTY, 0, true);

    private final EventLog log;
    private final Consumer<RouteTable> listener;
    private final CurrentVersionListener currentVersionListener;
    private ByteString text = ByteString.EMPTY;
    private ByteString compressedText = ByteString.EMPTY;
    private RouteTable table;
    private StoredRow storedRow = NO_ROW;
    private long storedVersion;

    /** Receives which version the store held. */
    @FunctionalInterface
    public interface CurrentVersionListener {
        /** A version was the newest valid one at a time of the store's clock. */
        void onCurrentVersion(long version, long storeTimeMilliseconds);
    }

    /** Creates an empty holder; the listener receives each newer configuration. */
    public ConfigurationHolder(
            EventLog log,
            Consumer<RouteTable> listener,
            CurrentVersionListener currentVersionListener) {
        this.log = log;
        this.listener = listener;
        this.currentVersionListener = currentVersionListener;
    }

    /** The configuration in force, or empty before the first one. */
    public Optional<RouteTable> table() {
        return Optional.ofNullable(table);
    }

    /** The limits on callers in force. */
    public CallerLimits callerLimits() {
        return table == null ? CallerLimits.UNCONFIGURED : table.limits();
    }

    /** The version in force; 0 before the first one. */
    @Override
    public long version() {
        return table == null ? 0 : table.version();
    }

    /** The text of the configuration in force, as the operator wrote it. */
    public ByteString text() {
        return text;
    }

    /** The text of the configuration in force, compressed. */
    @Override
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
        StoredRow stored =
                rows.stream()
                        .filter(row -> row.key().equals(ConfigurationDecoder.KEY))
                        .findFirst()
                        .orElse(NO_ROW);
        if (!stored.equals(storedRow)) {
            // Versions that were written and replaced meanwhile may be missing here.
            storedVersion = 0;
        }
        applyStored(stored);
    }

    @Override
    public void onChange(StoredRow row) {
        if (row.key().equals(ConfigurationDecoder.KEY)) {
            applyStored(row);
        }
    }

    /**
     * Applies what the store holds. A configuration that is invalid leaves the version before it
     * valid, also in the store.
     */
    private void applyStored(StoredRow row) {
        storedRow = row;
        ByteString stored = row.value();
        boolean valid = applyIfNewer(stored, "store");
        if (stored.equals(text)) {
            storedVersion = version();
        } else if (valid) {
            storedVersion = 0;
        }
    }

    @Override
    public void onCurrent(long storeTimeMilliseconds) {
        if (storedVersion > 0) {
            currentVersionListener.onCurrentVersion(storedVersion, storeTimeMilliseconds);
        }
    }

    /**
     * Puts a configuration in force if it is newer and valid.
     *
     * @return whether it is valid
     */
    public boolean applyIfNewer(ByteString candidate, String source) {
        if (candidate.isEmpty()) {
            return false;
        }
        if (candidate.equals(text)) {
            return true;
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
                return true;
            }
            table = decoded;
            text = candidate;
            compressedText = ByteString.EMPTY;
            log.event("configuration-in-force")
                    .with("version", table.version())
                    .with("routes", table.routes().size())
                    .with("tenants", table.tenants().all().size())
                    .with("requires_keys", table.tenants().requiresKeys())
                    .with("source", source)
                    .write();
            listener.accept(table);
            return true;
        } catch (MalformedMessageException invalid) {
            log.event("configuration-rejected")
                    .with("source", source)
                    .with("cause", invalid.getMessage())
                    .write();
            return false;
        }
    }
}
