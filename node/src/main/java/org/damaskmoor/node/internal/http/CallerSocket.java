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
 * A caller's connection below the HTTP library. Adds what the library lacks to a plain socket:
 *
 * <ul>
 *   <li>{@link #watchForDisconnect} notices a caller that disconnects while its request is open;
 *   <li>{@link #beginRefusal} takes the connection over from the library, which would close it or
 *       reply without a body, so that a caller whose request can't be read gets a complete refusal;
 *   <li>{@link #closeAfterReply} closes the connection after a response with {@code Connection:
 *       close}.
 * </ul>
 *
 * <p>Confined to the caller event loop. Invariant: at most one read of the underlying socket is
 * pending, and at most one buffer is read ahead.
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
    private SettablePromise<ByteBuf> pendingRead;
    private Promise<ByteBuf> readAhead;
    private Runnable onDisconnect;
    private Runnable malformedCallback = () -> {};
    private boolean readingBody;
    private boolean omitsContentLength;
    private boolean inputEnded;
    private boolean refusalWritten;

    CallerSocket(Eventloop loop, ITcpSocket socket, Runnable onClosed) {
        this.loop = loop;
        this.socket = socket;
        this.onClosed = onClosed;
    }

    /** Calls back if the caller closes its side before {@link #stopWatching}. */
    void watchForDisconnect(Runnable callback) {
        onDisconnect = callback;
        if (!reading && readAhead == null) {
            startReading();
        }
    }

    void stopWatching() {
        onDisconnect = null;
    }

    /** Sets the action that refuses a request that the library finds malformed. */
    void onMalformedRequest(Runnable refusal) {
        malformedCallback = refusal;
    }

    /**
     * Sets whether a body is being read. If the library closes the connection meanwhile, the
     * request counts as malformed.
     */
    void setReadingBody(boolean isReading) {
        readingBody = isReading;
    }

    /** Marks the next response as the last one. */
    void closeAfterReply() {
        if (state == State.OPEN) {
            state = State.LAST_REPLY;
        }
    }

    /**
     * Removes the Content-Length of the next response, which has no body (RFC 9110, section 8.6).
     */
    void omitContentLength() {
        omitsContentLength = true;
    }

    /**
     * Takes the connection over from the HTTP library; returns false if it was already taken over
     * or closed.
     */
    boolean beginRefusal() {
        if (state != State.OPEN && state != State.LAST_REPLY) {
            return false;
        }
        state = State.REFUSING;
        abandonRead();
        return true;
    }

    /** Writes the refusal, gives the caller time to read it, and closes. */
    void finishRefusal(byte[] reply) {
        loop.delay(LINGER, this::closeSocket);
        socket.write(ByteBuf.wrapForReading(reply))
                .then(() -> socket.write(null))
                .whenResult(this::onRefusalWritten)
                .whenException(this::closeSocket);
    }

    @Override
    public Promise<ByteBuf> read() {
        if (state == State.LAST_REPLY) {
            return Promise.of(null);
        }
        if (state != State.OPEN) {
            return Promise.ofException(closedException());
        }
        if (readAhead != null) {
            Promise<ByteBuf> taken = readAhead;
            readAhead = null;
            return taken;
        }
        SettablePromise<ByteBuf> promise = new SettablePromise<>();
        pendingRead = promise;
        if (!reading) {
            startReading();
        }
        return promise;
    }

    @Override
    public Promise<Void> write(ByteBuf buffer) {
        if (state == State.OPEN || state == State.LAST_REPLY) {
            boolean omits = omitsContentLength && buffer != null;
            omitsContentLength = false;
            return socket.write(omits ? ResponseBytes.removeZeroContentLength(buffer) : buffer);
        }
        if (buffer != null) {
            buffer.recycle();
        }
        return Promise.ofException(closedException());
    }

    @Override
    public boolean isReadAvailable() {
        boolean available =
                readAhead != null && readAhead.isResult() && readAhead.getResult() != null;
        return state == State.OPEN && available;
    }

    @Override
    public boolean isClosed() {
        return state == State.CLOSED || socket.isClosed();
    }

    @Override
    public void closeEx(Exception reason) {
        boolean malformed = readingBody || reason instanceof MalformedHttpException;
        if (state == State.OPEN && malformed && !socket.isClosed()) {
            malformedCallback.run();
        }
        if (state != State.REFUSING) {
            closeSocket();
        }
    }

    private void startReading() {
        reading = true;
        socket.read().subscribe(this::onRead);
    }

    private void onRead(ByteBuf buffer, Exception exception) {
        reading = false;
        if (state != State.OPEN) {
            discard(buffer);
        } else if (pendingRead != null) {
            SettablePromise<ByteBuf> promise = pendingRead;
            pendingRead = null;
            promise.set(buffer, exception);
        } else {
            readAhead = Promise.of(buffer, exception);
            if (buffer == null) {
                onCallerDisconnected();
            }
        }
    }

    private void onCallerDisconnected() {
        Runnable callback = onDisconnect;
        onDisconnect = null;
        if (callback != null) {
            state = State.GONE;
            callback.run();
        }
    }

    private void abandonRead() {
        SettablePromise<ByteBuf> promise = pendingRead;
        pendingRead = null;
        if (promise != null) {
            promise.setException(closedException());
        }
        if (readAhead != null) {
            inputEnded |= readAhead.isResult() && readAhead.getResult() == null;
            readAhead.whenResult(CallerSocket::recycle);
            readAhead = null;
        }
    }

    private void onRefusalWritten() {
        refusalWritten = true;
        drainInput();
    }

    /**
     * Reads and discards further input: closing with unread input would reset the connection, and
     * the caller could lose the reply.
     */
    private void drainInput() {
        if (inputEnded) {
            closeSocket();
        } else if (state == State.REFUSING && !reading) {
            startReading();
        }
    }

    private void discard(ByteBuf buffer) {
        recycle(buffer);
        inputEnded |= buffer == null;
        if (refusalWritten || state != State.REFUSING) {
            drainInput();
        }
    }

    private void closeSocket() {
        if (state != State.CLOSED) {
            state = State.CLOSED;
            abandonRead();
            socket.closeEx(closedException());
            onClosed.run();
        }
    }

    private static void recycle(ByteBuf buffer) {
        if (buffer != null) {
            buffer.recycle();
        }
    }

    private static AsyncCloseException closedException() {
        return new AsyncCloseException("the connection is closed");
    }
}
