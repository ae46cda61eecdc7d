package org.damaskmoor.core.pipelining;

import java.util.ArrayDeque;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Predicate;

/**
 * Decides which requests of one caller's connection may start, and which answers may be sent.
 *
 * <p>Handles the load of callers that send several further requests before the first is answered:
 * requests that may run more than once run concurrently, so that a slow one delays the answers
 * behind it but not their work. A caller that sends without end, or reads no answers, is held back
 * by bounds of number and bytes.
 *
 * <pre>{@code
 * pipeline.onRead(request, bodyBytes);
 * pipeline.start(Request::isIdempotent).ifPresent(this::run);
 * pipeline.onAnswered(request, answer, answerBytes);
 * pipeline.nextAnswer().ifPresent(this::send);
 * }</pre>
 *
 * <p>Invariants: answers leave in the order in which the requests were read; a non-idempotent
 * request starts only when all answers before it have left, and nothing behind it starts before its
 * own answer has left; nothing is read behind the request whose answer closes the connection, so
 * nothing behind a closing answer has run. Not thread-safe.
 *
 * @param <R> a request; requests are told apart by identity
 * @param <A> an answer
 */
public final class RequestPipeline<R, A> {
    /** Maximum number of requests that were read and whose answers have not left. */
    public static final int MAX_REQUESTS = 8;

    /**
     * Bytes of bodies and of answers that wait for earlier ones, from which on nothing more is read
     * or started, except for the first request: it may be larger, because it could never be
     * answered otherwise. Requests that run already may add their answers.
     */
    public static final long MAX_BYTES = 256 * 1024;

    private final ArrayDeque<Entry<R, A>> entries = new ArrayDeque<>();
    private long bytes;
    private boolean ended;

    /**
     * Whether more may be read of the request that is being read.
     *
     * @param partBytes body bytes of that request that have been read already
     */
    public boolean hasRoom(long partBytes) {
        if (ended) {
            return false;
        }
        return entries.isEmpty()
                || (entries.size() < MAX_REQUESTS && bytes + partBytes < MAX_BYTES);
    }

    /**
     * A request was read completely.
     *
     * @throws IllegalStateException after {@link #endReading}
     */
    public void onRead(R request, long bodyBytes) {
        Entry<R, A> entry = new Entry<>(Optional.of(request));
        entry.bytes = bodyBytes;
        add(entry);
    }

    /**
     * A request could not be read. Its refusal leaves behind the answers before it and closes the
     * connection.
     *
     * @throws IllegalStateException after {@link #endReading}
     */
    public void onUnreadable(A refusal) {
        Entry<R, A> entry = new Entry<>(Optional.empty());
        entry.started = true;
        entry.answer = Objects.requireNonNull(refusal, "refusal");
        add(entry);
        ended = true;
    }

    private void add(Entry<R, A> entry) {
        if (ended) {
            throw new IllegalStateException("A request was read behind the last one.");
        }
        bytes += entry.bytes;
        entries.addLast(entry);
    }

    /** Nothing more is read: the last answer closes the connection. */
    public void endReading() {
        ended = true;
    }

    /** Whether nothing more is read. */
    public boolean isEnded() {
        return ended;
    }

    /** Whether nothing more is read and all answers have left. */
    public boolean isComplete() {
        return ended && entries.isEmpty();
    }

    /** Whether no request is without an answer that has left. */
    public boolean isEmpty() {
        return entries.isEmpty();
    }

    /** Number of requests whose answers have not left. */
    public int size() {
        return entries.size();
    }

    /** Bytes of their bodies and of answers that wait. */
    public long bytes() {
        return bytes;
    }

    /**
     * Starts the next request if it may run now.
     *
     * @param isIdempotent whether a request may run more than once; asked at the start, because the
     *     answer may change while a request waits
     */
    public Optional<R> start(Predicate<R> isIdempotent) {
        boolean first = true;
        for (Entry<R, A> entry : entries) {
            if (!entry.started) {
                R request = entry.request.orElseThrow();
                boolean idempotent = isIdempotent.test(request);
                if (!first && !(idempotent && bytes < MAX_BYTES)) {
                    return Optional.empty();
                }
                entry.started = true;
                entry.exclusive = !idempotent;
                return entry.request;
            }
            if (entry.exclusive) {
                return Optional.empty();
            }
            first = false;
        }
        return Optional.empty();
    }

    /** Whether a request waits for its start. */
    public boolean hasUnstarted() {
        return entries.stream().anyMatch(entry -> !entry.started);
    }

    /** A request that was started has its answer; further answers to it are ignored. */
    public void onAnswered(R request, A answer, long answerBytes) {
        for (Entry<R, A> entry : entries) {
            if (entry.isRunning() && entry.request.orElseThrow() == request) {
                bytes += answerBytes - entry.bytes;
                entry.bytes = answerBytes;
                entry.answer = Objects.requireNonNull(answer, "answer");
                return;
            }
        }
    }

    /** Takes the next answer that may leave. */
    public Optional<A> nextAnswer() {
        Entry<R, A> first = entries.peekFirst();
        if (first == null || first.answer == null) {
            return Optional.empty();
        }
        entries.removeFirst();
        bytes -= first.bytes;
        return Optional.of(first.answer);
    }

    /** The requests that were started and have no answer yet. */
    public List<R> running() {
        return entries.stream()
                .filter(Entry::isRunning)
                .map(entry -> entry.request.orElseThrow())
                .toList();
    }

    private static final class Entry<R, A> {
        private final Optional<R> request;
        private long bytes;
        private boolean started;
        private boolean exclusive;
        private A answer;

        Entry(Optional<R> request) {
            this.request = request;
        }

        boolean isRunning() {
            return started && answer == null;
        }
    }
}
