package org.damaskmoor.node.internal.http;

import io.activej.bytebuf.ByteBuf;
import io.activej.bytebuf.ByteBufs;
import io.activej.csp.supplier.ChannelSupplier;
import io.activej.eventloop.Eventloop;
import io.activej.http.HttpRequest;
import io.activej.reactor.schedule.ScheduledRunnable;
import java.time.Duration;
import java.util.function.Consumer;
import org.damaskmoor.schema.mesh.RefusalReason;

/**
 * Reads the body of one request, up to a size limit and within a timeout. Unlike the HTTP library's
 * reader it leaves the connection open if the body is too long, so that the caller gets a response.
 *
 * <p>Confined to the caller event loop. Invariant: calls back once, with the body or a refusal.
 */
final class BodyReader {
    private static final Duration TIMEOUT = Duration.ofSeconds(30);

    private final int maximumBytes;
    private final Consumer<byte[]> onBody;
    private final Consumer<RefusalReason> onRefused;
    private final ScheduledRunnable timeout;
    private final ByteBufs received = new ByteBufs();
    private boolean done;

    private BodyReader(
            Eventloop loop,
            int maximumBytes,
            Consumer<byte[]> onBody,
            Consumer<RefusalReason> onRefused) {
        this.maximumBytes = maximumBytes;
        this.onBody = onBody;
        this.onRefused = onRefused;
        this.timeout = loop.delayBackground(TIMEOUT, () -> fail(RefusalReason.MALFORMED));
    }

    /** Reads the body of a request. */
    static void read(
            Eventloop loop,
            HttpRequest request,
            int maximumBytes,
            Consumer<byte[]> onBody,
            Consumer<RefusalReason> onRefused) {
        BodyReader reader = new BodyReader(loop, maximumBytes, onBody, onRefused);
        if (request.hasBody()) {
            reader.finish(request.getBody().getArray());
        } else {
            reader.readNext(request.takeBodyStream());
        }
    }

    private void readNext(ChannelSupplier<ByteBuf> stream) {
        stream.get()
                .whenResult(part -> onPart(stream, part))
                .whenException(exception -> fail(RefusalReason.MALFORMED));
    }

    private void onPart(ChannelSupplier<ByteBuf> stream, ByteBuf part) {
        if (done) {
            recycle(part);
        } else if (part == null) {
            finish(received.takeRemaining().asArray());
        } else {
            received.add(part);
            if (received.remainingBytes() > maximumBytes) {
                fail(RefusalReason.TOO_LARGE);
            } else {
                readNext(stream);
            }
        }
    }

    private void finish(byte[] body) {
        done = true;
        timeout.cancel();
        onBody.accept(body);
    }

    private void fail(RefusalReason reason) {
        if (!done) {
            done = true;
            if (timeout.isActive()) {
                timeout.cancel();
            }
            received.recycle();
            onRefused.accept(reason);
        }
    }

    private static void recycle(ByteBuf part) {
        if (part != null) {
            part.recycle();
        }
    }
}
