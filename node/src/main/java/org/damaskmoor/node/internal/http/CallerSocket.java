package org.damaskmoor.node.internal.http;

import io.activej.async.exception.AsyncCloseException;
import io.activej.bytebuf.ByteBuf;
import io.activej.eventloop.Eventloop;
import io.activej.http.MalformedHttpException;
import io.activej.net.socket.tcp.ITcpSocket;
import io.activej.promise.Promise;
import io.activej.promise.SettablePromise;
import java.time.Duration;

/**
 * A caller's connection below the HTTP library. Adds to a plain socket what the library leaves out:
 *
 * <ul>
 *   <li>{@link #watchForDisconnect} notices a caller that goes while its request waits;
 *   <li>{@link #beginRefusal} takes the connection from the library, which would close it or answer
 *       without a body, so that a refusal of an unreadable request reaches its caller whole;
 *   <li>{@link #closeAfterReply} keeps the promise of {@code Connection: close}.
 * </ul>
 *
 * <p>Confined to the caller event loop. Invariant: at most one read of the socket below is under
 * way, and at most one buffer read ahead is held.
 */
final class CallerSocket implements ITcpSocket {
    private static final Duration LINGER = Duration.ofSeconds(1);

    private enum State {
        OPEN,
        LAST_REPLY,
        GONE,
        REFUSING,
        CLOSED
    }

    private final Eventloop loop;
    private final ITcpSocket socket;
    private final Runnable onClosed;
    private State state = State.OPEN;
    private boolean reading;
    private SettablePromise<ByteBuf> wanted;
    private Promise<ByteBuf> ahead;
    private Runnable onGone;
    private Runnable onMalformed = () -> {};
    private boolean bodyWanted;
    private boolean omitsLength;
    private boolean inputEnded;
    private boolean replied;

    CallerSocket(Eventloop loop, ITcpSocket socket, Runnable onClosed) {
        this.loop = loop;
        this.socket = socket;
        this.onClosed = onClosed;
    }

    /** Calls back when the caller closes its side before {@link #stopWatching}. */
    void watchForDisconnect(Runnable whenGone) {
        onGone = whenGone;
        if (!reading && ahead == null) {
            startReading();
        }
    }

    void stopWatching() {
        onGone = null;
    }

    /** How to refuse a request that the library finds malformed. */
    void onMalformedRequest(Runnable refusal) {
        onMalformed = refusal;
    }

    /** Whether a body is being read: it is malformed, too, when the connection is given up. */
    void setReadingBody(boolean wantsBody) {
        bodyWanted = wantsBody;
    }

    /** The reply that is written next is the last one. */
    void closeAfterReply() {
        if (state == State.OPEN) {
            state = State.LAST_REPLY;
        }
    }

    /** The reply that is written next has no body and names no length (RFC 9110, section 8.6). */
    void omitContentLength() {
        omitsLength = true;
    }

    /** Takes the connection from the HTTP library. False: it was taken or closed before. */
    boolean beginRefusal() {
        if (state != State.OPEN && state != State.LAST_REPLY) {
            return false;
        }
        state = State.REFUSING;
        abandonRead();
        return true;
    }

    /** Writes the last bytes, lets the caller read them, and closes. */
    void finishRefusal(byte[] reply) {
        loop.delay(LINGER, this::closeBelow);
        socket.write(ByteBuf.wrapForReading(reply))
                .then(() -> socket.write(null))
                .whenResult(this::replied)
                .whenException(this::closeBelow);
    }

    @Override
    public Promise<ByteBuf> read() {
        if (state == State.LAST_REPLY) {
            return Promise.of(null);
        }
        if (state != State.OPEN) {
            return Promise.ofException(closed());
        }
        if (ahead != null) {
            Promise<ByteBuf> taken = ahead;
            ahead = null;
            return taken;
        }
        SettablePromise<ByteBuf> promise = new SettablePromise<>();
        wanted = promise;
        if (!reading) {
            startReading();
        }
        return promise;
    }

    @Override
    public Promise<Void> write(ByteBuf buffer) {
        if (state == State.OPEN || state == State.LAST_REPLY) {
            boolean omits = omitsLength && buffer != null;
            omitsLength = false;
            return socket.write(omits ? ResponseBytes.removeZeroContentLength(buffer) : buffer);
        }
        if (buffer != null) {
            buffer.recycle();
        }
        return Promise.ofException(closed());
    }

    @Override
    public boolean isReadAvailable() {
        boolean held = ahead != null && ahead.isResult() && ahead.getResult() != null;
        return state == State.OPEN && held;
    }

    @Override
    public boolean isClosed() {
        return state == State.CLOSED || socket.isClosed();
    }

    @Override
    public void closeEx(Exception reason) {
        boolean malformed = bodyWanted || reason instanceof MalformedHttpException;
        if (state == State.OPEN && malformed && !socket.isClosed()) {
            onMalformed.run();
        }
        if (state != State.REFUSING) {
            closeBelow();
        }
    }

    private void startReading() {
        reading = true;
        socket.read().subscribe(this::onRead);
    }

    private void onRead(ByteBuf buffer, Exception exception) {
        reading = false;
        if (state != State.OPEN) {
            dropped(buffer);
        } else if (wanted != null) {
            SettablePromise<ByteBuf> promise = wanted;
            wanted = null;
            promise.set(buffer, exception);
        } else {
            ahead = Promise.of(buffer, exception);
            if (buffer == null) {
                callerGone();
            }
        }
    }

    private void callerGone() {
        Runnable whenGone = onGone;
        onGone = null;
        if (whenGone != null) {
            state = State.GONE;
            whenGone.run();
        }
    }

    private void abandonRead() {
        SettablePromise<ByteBuf> promise = wanted;
        wanted = null;
        if (promise != null) {
            promise.setException(closed());
        }
        if (ahead != null) {
            inputEnded |= ahead.isResult() && ahead.getResult() == null;
            ahead.whenResult(CallerSocket::recycle);
            ahead = null;
        }
    }

    private void replied() {
        replied = true;
        drain();
    }

    /** Reads what still comes, so that closing does not take the reply from the caller. */
    private void drain() {
        if (inputEnded) {
            closeBelow();
        } else if (state == State.REFUSING && !reading) {
            startReading();
        }
    }

    private void dropped(ByteBuf buffer) {
        recycle(buffer);
        inputEnded |= buffer == null;
        if (replied || state != State.REFUSING) {
            drain();
        }
    }

    private void closeBelow() {
        if (state != State.CLOSED) {
            state = State.CLOSED;
            abandonRead();
            socket.closeEx(closed());
            onClosed.run();
        }
    }

    private static void recycle(ByteBuf buffer) {
        if (buffer != null) {
            buffer.recycle();
        }
    }

    private static AsyncCloseException closed() {
        return new AsyncCloseException("the connection is closed");
    }
}
