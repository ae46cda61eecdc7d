package org.damaskmoor.relay.internal;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.FileTime;
import org.damaskmoor.core.settings.SettingsException;
import org.damaskmoor.relay.RelaySettings;
import org.damaskmoor.relay.RelaySettingsReader;
import org.damaskmoor.relay.internal.log.EventLog;
import org.damaskmoor.relay.internal.time.Timers;

/**
 * Watches the settings file, and reads it again when it changes or on SIGHUP.
 *
 * <p>Changed settings are checked and logged, but take effect only when the process is started
 * again, because all settings are fixed at startup. Settings that are invalid are rejected with
 * their faults.
 *
 * <p>Confined to the event loop, but for {@link #reload}, which any thread may call.
 */
public final class SettingsFileWatcher {
    private static final long CHECK_INTERVAL_MILLISECONDS = 2000;

    private final Path file;
    private final Timers timers;
    private final EventLog log;
    private RelaySettings inForce;
    private FileTime changedAt;

    public SettingsFileWatcher(Path file, RelaySettings inForce, Timers timers, EventLog log) {
        this.file = file;
        this.inForce = inForce;
        this.timers = timers;
        this.log = log;
    }

    /** Starts to watch the file. */
    public void start() {
        HangUpSignal.handle(this::reload);
        changedAt = lastChange();
        timers.repeat(CHECK_INTERVAL_MILLISECONDS, this::check);
    }

    /** Reads the file again. */
    public void reload() {
        timers.execute(this::read);
    }

    private void check() {
        FileTime modifiedAt = lastChange();
        if (!modifiedAt.equals(changedAt)) {
            changedAt = modifiedAt;
            read();
        }
    }

    private FileTime lastChange() {
        try {
            return Files.getLastModifiedTime(file);
        } catch (IOException unreadable) {
            log.event("settings-unreadable").with("cause", unreadable.getMessage()).write();
            return FileTime.fromMillis(0);
        }
    }

    private void read() {
        try {
            RelaySettings read = RelaySettingsReader.read(file);
            boolean changed = !read.equals(inForce);
            inForce = read;
            log.event("settings-read").with("changed", changed).write();
        } catch (SettingsException invalid) {
            log.event("settings-rejected").with("faults", invalid.getMessage()).write();
        }
    }
}
