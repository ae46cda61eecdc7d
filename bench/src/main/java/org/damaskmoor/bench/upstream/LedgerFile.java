package org.damaskmoor.bench.upstream;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.function.Consumer;

/**
 * Appends ledger lines to a file, so that they survive a kill of the stand-in.
 *
 * <p>Invariant: a line is written to the file, but not necessarily synced to disk, when {@link
 * #accept} returns; lines of an earlier process stay. Thread safe.
 */
final class LedgerFile implements Consumer<String> {
    private final Path file;

    LedgerFile(Path file) {
        this.file = file;
    }

    @Override
    public synchronized void accept(String line) {
        byte[] bytes = (line + "\n").getBytes(StandardCharsets.UTF_8);
        try {
            Files.write(file, bytes, StandardOpenOption.CREATE, StandardOpenOption.APPEND);
        } catch (IOException e) {
            throw new UncheckedIOException("ledger not written: " + file, e);
        }
    }
}
