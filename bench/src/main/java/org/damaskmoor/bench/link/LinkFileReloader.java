package org.damaskmoor.bench.link;

import com.google.common.flogger.FluentLogger;
import java.io.IOException;
import java.nio.file.Path;

/**
 * Reloads the link file and updates the links.
 *
 * <p>If the file cannot be read, the links stay unchanged. Run by one thread.
 */
final class LinkFileReloader implements Runnable {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private final Path path;
    private final LinkTable links;

    LinkFileReloader(Path path, LinkTable links) {
        this.path = path;
        this.links = links;
    }

    static Thread thread(Runnable reading) {
        Thread thread = new Thread(reading, "link-file");
        thread.setDaemon(true);
        return thread;
    }

    @Override
    public void run() {
        try {
            links.change(EmulatedNode.read(path));
        } catch (IOException | IllegalArgumentException e) {
            LOGGER.atWarning().log("event=link-file-not-read path=%s cause=%s", path, e);
        }
    }
}
