package org.damaskmoor.soak;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.damaskmoor.platform.standin.UpstreamStandIn;
import org.damaskmoor.platform.standin.UpstreamStandIn.Connection;

/**
 * Sends answers of which a second copy follows, whole or in part, in one or several writes.
 *
 * <p>Thread-safe. Invariants: the choices for a request follow from the seed and its id; a part of
 * a copy that waits for the next request is sent on the same connection, before the answer to it.
 */
final class StutteringAnswers {
    private static final int OK = 200;
    private static final int FAILURE = 500;
    private static final int MAX_PIECES = 3;
    private static final long MAX_PAUSE_MILLISECONDS = 15;
    private static final long MAX_COPY_DELAY_MILLISECONDS = 40;

    /** One in this many requests is refused before it runs. */
    private static final int REFUSAL_INTERVAL = 12;

    /** One in this many requests gets status 500. */
    private static final int FAILURE_INTERVAL = 3;

    /**
     * One in this many first answers is cut in its body, and continued by the whole copy. If it has
     * a length, the copy is sent in one write: only the bytes behind the length tell that the body
     * is not whole.
     */
    private static final int CUT_INTERVAL = 12;

    /** How the end of the body of an answer is found. */
    private enum Framing {
        LENGTH,
        CHUNKS,
        END_OF_CONNECTION
    }

    /** When the pieces of a second copy are sent. */
    private enum Moment {
        WITH_ANSWER,
        AFTER_ANSWER,
        BEFORE_NEXT_ANSWER,
        /** All pieces but the last one after the answer, that one before the next answer. */
        AROUND_NEXT_REQUEST
    }

    /**
     * An upstream's answer without its framing.
     *
     * @param notice further header lines, each with its line end
     */
    record Answer(String id, String stamp, int status, String notice) {
        private String text(Framing framing, String idLine) {
            String body = UpstreamStandIn.body(id);
            String head =
                    "HTTP/1.1 "
                            + status
                            + " Status\r\n"
                            + idLine
                            + "Server-Stamp: "
                            + stamp
                            + "\r\n"
                            + notice;
            return switch (framing) {
                case LENGTH -> head + "Content-Length: " + body.length() + "\r\n\r\n" + body;
                case CHUNKS ->
                        head
                                + "Transfer-Encoding: chunked\r\n\r\n"
                                + Integer.toHexString(body.length())
                                + "\r\n"
                                + body
                                + "\r\n0\r\n\r\n";
                case END_OF_CONNECTION -> head + "\r\n" + body;
            };
        }
    }

    private final long seed;
    private final Consumer<String> log;
    private final Map<Connection, List<String>> waiting = new ConcurrentHashMap<>();

    /**
     * Creates answers that stutter.
     *
     * @param log takes a line for each answer that is sent
     */
    StutteringAnswers(long seed, Consumer<String> log) {
        this.seed = seed;
        this.log = log;
    }

    private RandomGenerator random(String purpose, String id) {
        return new SplittableRandom(seed + (purpose + id).hashCode());
    }

    /** Returns whether a request is to be refused before it runs. */
    boolean refuses(String id) {
        return random("refusal", id).nextInt(REFUSAL_INTERVAL) == 0;
    }

    /** Returns the status that a request that ran is to get. */
    int status(String id) {
        return random("status", id).nextInt(FAILURE_INTERVAL) == 0 ? FAILURE : OK;
    }

    /** Sends what waits for the next request on the connection, if any. */
    void onRequest(String id, Connection connection) throws IOException, InterruptedException {
        List<String> pieces = waiting.remove(connection);
        if (pieces == null) {
            return;
        }
        RandomGenerator random = random("request", id);
        if (random.nextBoolean()) {
            int last = pieces.size() - 1;
            waiting.put(connection, pieces.subList(last, last + 1));
            pieces = pieces.subList(0, last);
        }
        sendSlowly(pieces, connection, random);
    }

    /** Sends a given answer and returns the pieces of the copy that are still to be sent. */
    List<String> answer(String id, String text, Connection connection) throws IOException {
        RandomGenerator random = random("copy", id);
        List<String> pieces = pieces(cutOrWhole(text, random), random);
        return send(id, text, pieces, any(Moment.values(), random), connection);
    }

    /** Answers a request and returns the pieces of the copy that are still to be sent. */
    List<String> answer(Answer answer, Connection connection) throws IOException {
        RandomGenerator random = random("copy", answer.id());
        String idLine = "Request-Id: " + answer.id() + "\r\n";
        if (random.nextInt(CUT_INTERVAL) == 0) {
            boolean chunked = random.nextBoolean();
            String first = answer.text(chunked ? Framing.CHUNKS : Framing.LENGTH, idLine);
            int bodyStart = first.indexOf(UpstreamStandIn.body(answer.id()));
            String cut = first.substring(0, bodyStart + random.nextInt(first.length() - bodyStart));
            Moment moment = random.nextBoolean() ? Moment.WITH_ANSWER : Moment.AFTER_ANSWER;
            List<String> pieces = chunked ? pieces(first, random) : List.of(first);
            return send(answer.id(), cut, pieces, moment, connection);
        }
        String first =
                answer.text(random.nextInt(4) == 0 ? Framing.CHUNKS : Framing.LENGTH, idLine);
        String copy = answer.text(any(Framing.values(), random), copyIdLine(answer.id(), random));
        List<String> pieces = pieces(cutOrWhole(copy, random), random);
        return send(answer.id(), first, pieces, any(Moment.values(), random), connection);
    }

    private List<String> send(
            String id, String first, List<String> pieces, Moment moment, Connection connection)
            throws IOException {
        List<String> before = waiting.remove(connection);
        String prefix = before == null ? "" : before.get(0);
        log.accept(
                "request=%s connection=%d before=%s answer=%s moment=%s copy=%s"
                        .formatted(
                                id,
                                connection.socket().getPort(),
                                quoted(prefix),
                                quoted(first),
                                moment,
                                pieces.stream().map(StutteringAnswers::quoted).toList()));
        int last = pieces.size() - 1;
        if (moment == Moment.BEFORE_NEXT_ANSWER) {
            waiting.put(connection, pieces);
        } else if (moment == Moment.AROUND_NEXT_REQUEST) {
            waiting.put(connection, pieces.subList(last, last + 1));
        }
        connection.send(prefix + first + (moment == Moment.WITH_ANSWER ? pieces.get(0) : ""));
        return switch (moment) {
            case WITH_ANSWER -> pieces.subList(1, last + 1);
            case AFTER_ANSWER -> pieces;
            case BEFORE_NEXT_ANSWER -> List.of();
            case AROUND_NEXT_REQUEST -> pieces.subList(0, last);
        };
    }

    /** Sends the pieces that {@link #answer} returned. */
    void sendCopy(String id, List<String> pieces, Connection connection)
            throws IOException, InterruptedException {
        if (pieces.isEmpty()) {
            return;
        }
        RandomGenerator random = random("delay", id);
        Thread.sleep(random.nextLong(MAX_COPY_DELAY_MILLISECONDS));
        sendSlowly(pieces, connection, random);
        boolean withoutLength = !String.join("", pieces).contains("Content-Length");
        if (withoutLength && random.nextBoolean()) {
            connection.close();
        }
    }

    private static void sendSlowly(
            List<String> pieces, Connection connection, RandomGenerator random)
            throws IOException, InterruptedException {
        for (String piece : pieces) {
            connection.send(piece);
            Thread.sleep(random.nextLong(MAX_PAUSE_MILLISECONDS));
        }
    }

    private static String copyIdLine(String id, RandomGenerator random) {
        return switch (random.nextInt(4)) {
            case 0 -> "";
            case 1 -> "Request-Id: x" + id.substring(1) + "\r\n";
            case 2 -> "Request-Id: \u0001" + id.substring(1) + "\r\n";
            default -> "Request-Id: " + id + "\r\n";
        };
    }

    private static String cutOrWhole(String text, RandomGenerator random) {
        return random.nextBoolean() ? text : text.substring(0, 1 + random.nextInt(text.length()));
    }

    private static List<String> pieces(String text, RandomGenerator random) {
        List<String> pieces = new ArrayList<>();
        String rest = text;
        while (pieces.size() < MAX_PIECES - 1 && rest.length() > 1 && random.nextBoolean()) {
            int length = 1 + random.nextInt(rest.length() - 1);
            pieces.add(rest.substring(0, length));
            rest = rest.substring(length);
        }
        pieces.add(rest);
        return pieces;
    }

    private static <T> T any(T[] values, RandomGenerator random) {
        return values[random.nextInt(values.length)];
    }

    private static String quoted(String text) {
        return '"' + text.replace("\r\n", "\\r\\n").replace("\u0001", "\\1") + '"';
    }
}
