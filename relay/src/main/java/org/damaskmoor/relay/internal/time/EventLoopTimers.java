package org.damaskmoor.relay.internal.time;

import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;

/** Timers on a Netty event loop. Confined to the event loop. */
public final class EventLoopTimers implements Timers {
    private final EventLoop loop;

    public EventLoopTimers(EventLoop loop) {
        this.loop = loop;
    }

    @Override
    public long now() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    }

    @Override
    public Cancellation schedule(long milliseconds, Runnable task) {
        var scheduled = loop.schedule(task, Math.max(0, milliseconds), TimeUnit.MILLISECONDS);
        return () -> scheduled.cancel(false);
    }

    @Override
    public void execute(Runnable task) {
        loop.execute(task);
    }
}
