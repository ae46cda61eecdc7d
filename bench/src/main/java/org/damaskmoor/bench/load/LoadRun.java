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
 * Sends a schedule of requests in an open loop: each request is sent when due, independently of
 * earlier outcomes.
 *
 * <pre>{@code
 * List<CallRecord> ledger = new LoadRun(entries, upstreams, progress -> {}).run(schedule);
 * }</pre>
 *
 * <p>Uses ActiveJ's client, which never retries a request by itself, as the JDK's client does after
 * some failures, and needs only one thread. The calling thread keeps the pace because the event
 * loop's clock has millisecond resolution.
 *
 * <p>Thread safety: each instance runs one schedule, called from one thread.
 */
public final class LoadRun {
    private static final Duration READ_TIMEOUT =
            Duration.ofMillis(Caller.ANSWER_TIMEOUT_MILLISECONDS + 1000);

    private final List<URI> entries;
    private final List<URI> upstreams;
    private final Consumer<CallRecord> listener;
    private final List<CallRecord> ledger = new ArrayList<>();

    /**
     * @param entries URLs of the entry nodes
     * @param upstreams URLs for direct requests
     * @param listener receives each record, on the event loop
     */
    public LoadRun(List<URI> entries, List<URI> upstreams, Consumer<CallRecord> listener) {
        this.entries = entries;
        this.upstreams = upstreams;
        this.listener = listener;
    }

    /** Sends all requests and returns the ledger once every request has an outcome. */
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
                        new EndpointSelector(entries),
                        new EndpointSelector(upstreams),
                        this::record,
                        unfinished::countDown);
        sendOnSchedule(schedule, eventLoop, caller);
        boolean finished = unfinished.await(Caller.maximumMilliseconds(), TimeUnit.MILLISECONDS);
        eventLoop.keepAlive(false);
        eventLoop.execute(eventLoop::breakEventloop);
        thread.join();
        if (!finished) {
            throw new IllegalStateException(
                    unfinished.getCount() + " requests have no outcome after the maximum duration");
        }
        return List.copyOf(ledger);
    }

    private void record(CallRecord line) {
        ledger.add(line);
        listener.accept(line);
    }

    private static void sendOnSchedule(
            List<PlannedCall> schedule, Eventloop eventLoop, Caller caller) {
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
