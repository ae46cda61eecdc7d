package org.damaskmoor.bench.soak;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.damaskmoor.bench.http.JsonObject;

/**
 * Cuts and silences links by writing the link file that all nodes read.
 *
 * <p>Invariant: a reader sees either the complete old file or the complete new one. Thread safe.
 */
public final class LinkFaults {
    private final Path file;
    private final JsonObject links;
    private final List<String> cuts = new ArrayList<>();
    private final Map<String, Integer> silences = new TreeMap<>();

    /** Starts from the current content of the file. */
    public LinkFaults(Path file) throws IOException {
        this.file = file;
        this.links = JsonObject.parse(Files.readString(file));
    }

    /** Cuts the link between two regions or two data centres, given as {@code A/B}. */
    public synchronized void cut(String pair) throws IOException {
        cuts.add(pair);
        write();
    }

    /** Ends one cut of this link. */
    public synchronized void heal(String pair) throws IOException {
        cuts.remove(pair);
        write();
    }

    /** Permanently silences all open connections over this link; new ones work. */
    public synchronized void silence(String pair) throws IOException {
        silences.merge(pair, 1, Integer::sum);
        write();
    }

    private void write() throws IOException {
        JsonObject counts = new JsonObject();
        silences.forEach(counts::with);
        links.with("cuts", List.copyOf(cuts)).with("silences", counts);
        Path next = file.resolveSibling(file.getFileName() + ".next");
        Files.writeString(next, links.toString());
        Files.move(next, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
    }
}
