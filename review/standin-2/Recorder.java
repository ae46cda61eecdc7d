import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** Writes what was sent, answered and run to a file. Thread-safe. */
final class Recorder implements AutoCloseable {
    private final PrintWriter file;
    private final long startedAt = System.nanoTime();

    Recorder(Path path) throws IOException {
        file = new PrintWriter(Files.newBufferedWriter(path));
    }

    long now() {
        return (System.nanoTime() - startedAt) / 1_000_000;
    }

    synchronized void line(String format, Object... values) {
        file.println(String.format("%7d ms  ", now()) + String.format(format, values));
        file.flush();
    }

    @Override
    public synchronized void close() {
        file.close();
    }
}
