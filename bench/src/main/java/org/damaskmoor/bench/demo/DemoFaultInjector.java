package org.damaskmoor.bench.demo;

import java.io.IOException;
import java.util.List;
import java.util.Timer;
import java.util.TimerTask;
import java.util.concurrent.TimeUnit;
import org.damaskmoor.bench.http.BlockingClient;
import org.damaskmoor.bench.http.Reply;

/**
 * What goes wrong during the load: one node is killed, another is drained.
 *
 * <p>Used by one thread; the faults run on a timer thread.
 */
final class DemoFaultInjector implements AutoCloseable {
    private static final long KILL_AFTER_SECONDS = 5;
    private static final long DRAIN_AFTER_SECONDS = 9;

    private final Place killed;
    private final Place drained;
    private final ChildProcesses children;
    private final BlockingClient client;
    private final Progress progress;
    private final Timer timer = new Timer("faults", true);

    DemoFaultInjector(
            List<Place> places, ChildProcesses children, BlockingClient client, Progress progress) {
        this.killed = places.get(1);
        this.drained = places.get(places.size() - 1);
        this.children = children;
        this.client = client;
        this.progress = progress;
    }

    /** Starts the clock of the faults. */
    void start() {
        schedule(KILL_AFTER_SECONDS, this::kill);
        schedule(DRAIN_AFTER_SECONDS, this::drain);
    }

    private void schedule(long seconds, Runnable fault) {
        TimerTask task =
                new TimerTask() {
                    @Override
                    public void run() {
                        fault.run();
                    }
                };
        timer.schedule(task, TimeUnit.SECONDS.toMillis(seconds));
    }

    private void kill() {
        children.kill(killed.nodeId());
        progress.step("killed node " + killed.nodeId());
    }

    private void drain() {
        try {
            Reply reply = client.post(drained.controlUrl() + "/drain", "");
            progress.step("drain of node " + drained.nodeId() + " answered " + reply.status());
        } catch (IOException e) {
            progress.step("drain of node " + drained.nodeId() + " failed: " + e.getMessage());
        }
    }

    @Override
    public void close() {
        timer.cancel();
    }
}
