package org.damaskmoor.bench.platform;

import org.damaskmoor.bench.http.JsonObject;
import org.damaskmoor.bench.http.Reply;

/** Counts the requests to the platform stand-in. Not thread safe: confined to one event loop. */
final class PlatformCounters {
    private long reads;
    private long writes;
    private long conflicts;
    private long refused;
    private long answersLost;
    private long bytes;

    void count(boolean write, Reply reply, int bodyBytes) {
        if (write) {
            writes++;
        } else {
            reads++;
        }
        if (reply.status() == 412) {
            conflicts++;
        }
        bytes += bodyBytes + reply.body().size();
    }

    void refused() {
        refused++;
    }

    void answerLost() {
        answersLost++;
    }

    Reply reply() {
        JsonObject counts =
                new JsonObject()
                        .with("reads", reads)
                        .with("writes", writes)
                        .with("conflicts", conflicts)
                        .with("refused_by_fault", refused)
                        .with("answers_lost", answersLost)
                        .with("body_bytes", bytes);
        return Reply.of(200, counts.toString());
    }
}
