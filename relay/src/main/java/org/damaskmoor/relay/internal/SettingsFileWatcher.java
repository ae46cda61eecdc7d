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
 * Looks for changes of the settings file, with or without a signal.
 *
 * <p>Changed settings are checked and told; all of them are fixed at the start of a process, so
 * they take effect at its next one. Settings that can't be used are refused with their faults.
 *
 * <p>Confined to the event loop, but for {@link #reload}, which any thread may call.
 */
public final class SettingsFileWatcher {
    private static final long LOOK_MILLISECONDS = 2000;

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

    /** Begins to look. */
    public void start() {
        HangUpSignal.handle(this::reload);
        changedAt = lastChange();
        timers.schedule(LOOK_MILLISECONDS, this::look);
    }

    /** Reads the file again. */
    public void reload() {
        timers.execute(this::read);
    }

    private void look() {
        FileTime now = lastChange();
        if (!now.equals(changedAt)) {
            changedAt = now;
            read();
        }
        timers.schedule(LOOK_MILLISECONDS, this::look);
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
        } catch (SettingsException unusable) {
            log.event("settings-rejected").with("faults", unusable.getMessage()).write();
        }
    }
}
