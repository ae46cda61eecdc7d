package org.damaskmoor.bench.load;

import io.activej.eventloop.Eventloop;
import io.activej.http.HttpClient;
import java.net.URI;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Consumer;
import org.damaskmoor.bench.http.LoopbackClient;

/**
 * Sends a whole schedule, each request when it is due, whatever became of those before it.
 *
 * <pre>{@code
 * List<CallRecord> ledger = new LoadRun(entries, upstreams, progress -> {}).run(schedule);
 * }</pre>
 *
 * <p>ActiveJ's client sends: it never sends a request twice by itself, which the JDK's client does
 * for some failures, and it needs one thread. The pace is kept by a thread of its own because the
 * event loop's clock counts whole milliseconds.
 *
 * <p>Thread safety: each instance runs one schedule, called from one thread.
 */
public final class LoadRun {
    private static final Duration READ_TIMEOUT =
            Duration.ofMillis(Caller.PATIENCE_MILLISECONDS + 1000);

    private final List<URI> entries;
    private final List<URI> upstreams;
    private final Consumer<CallRecord> watcher;
    private final List<CallRecord> ledger = new ArrayList<>();

    /**
     * @param entries where callers send
     * @param upstreams where direct requests go
     * @param watcher is told each record, on the event loop
     */
    public LoadRun(List<URI> entries, List<URI> upstreams, Consumer<CallRecord> watcher) {
        this.entries = entries;
        this.upstreams = upstreams;
        this.watcher = watcher;
    }

    /** Sends all and returns the ledger once every request has its outcome. */
    public List<CallRecord> run(List<PlannedCall> schedule) throws InterruptedException {
        Eventloop eventLoop = Eventloop.builder().withThreadName("callers").build();
        eventLoop.keepAlive(true);
        Thread thread = new Thread(eventLoop, "callers");
        thread.setDaemon(true);
        thread.start();
        HttpClient client = LoopbackClient.create(eventLoop, READ_TIMEOUT);
        CountDownLatch unfinished = new CountDownLatch(schedule.size());
        Caller caller =
                new Caller(
                        eventLoop,
                        client,
                        new Entries(entries),
                        new Entries(upstreams),
                        this::note,
                        unfinished::countDown);
        pace(schedule, eventLoop, caller);
        boolean finished = unfinished.await(Caller.longestMilliseconds(), TimeUnit.MILLISECONDS);
        eventLoop.keepAlive(false);
        eventLoop.execute(eventLoop::breakEventloop);
        thread.join();
        if (!finished) {
            throw new IllegalStateException(unfinished.getCount() + " requests have no outcome");
        }
        return List.copyOf(ledger);
    }

    private void note(CallRecord line) {
        ledger.add(line);
        watcher.accept(line);
    }

    private static void pace(List<PlannedCall> schedule, Eventloop eventLoop, Caller caller) {
        long start = System.nanoTime();
        for (PlannedCall call : schedule) {
            long due = start + call.dueNanoseconds();
            for (long wait = due - System.nanoTime(); wait > 0; wait = due - System.nanoTime()) {
                LockSupport.parkNanos(wait);
            }
            eventLoop.execute(() -> caller.send(call, 1, due));
        }
    }
}
