package org.damaskmoor.bench.link;

import com.google.common.flogger.FluentLogger;
import java.io.IOException;
import java.nio.file.Path;

/**
 * Reads the link file again and changes the links.
 *
 * <p>A file that can't be read leaves the links as they are. Run by one thread.
 */
final class LinkReading implements Runnable {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private final Path path;
    private final LinkTable links;

    LinkReading(Path path, LinkTable links) {
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
