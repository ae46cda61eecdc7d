package org.damaskmoor.bench.demo;

import java.io.IOException;
import java.util.List;
import java.util.Timer;
import java.util.TimerTask;
import java.util.concurrent.TimeUnit;
import org.damaskmoor.bench.http.BlockingClient;
import org.damaskmoor.bench.http.Reply;

/**
 * Injects the faults of the demo during the load: kills one node and drains another.
 *
 * <p>Confined to one thread; the faults run on a timer thread.
 */
final class DemoFaultInjector implements AutoCloseable {
    private static final long KILL_AFTER_SECONDS = 5;
    private static final long DRAIN_AFTER_SECONDS = 9;

    private final EmulatedVm nodeToKill;
    private final EmulatedVm nodeToDrain;
    private final ChildProcesses children;
    private final BlockingClient client;
    private final Progress progress;
    private final Timer timer = new Timer("faults", true);

    DemoFaultInjector(
            List<EmulatedVm> vms,
            ChildProcesses children,
            BlockingClient client,
            Progress progress) {
        this.nodeToKill = vms.get(1);
        this.nodeToDrain = vms.get(vms.size() - 1);
        this.children = children;
        this.client = client;
        this.progress = progress;
    }

    /** Schedules the faults, relative to now. */
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
        children.kill(nodeToKill.nodeId());
        progress.step("killed node " + nodeToKill.nodeId());
    }

    private void drain() {
        try {
            Reply reply = client.post(nodeToDrain.controlUrl() + "/drain", "");
            progress.step("drain of node " + nodeToDrain.nodeId() + ": status " + reply.status());
        } catch (IOException e) {
            progress.step("drain of node " + nodeToDrain.nodeId() + " failed: " + e.getMessage());
        }
    }

    @Override
    public void close() {
        timer.cancel();
    }
}
