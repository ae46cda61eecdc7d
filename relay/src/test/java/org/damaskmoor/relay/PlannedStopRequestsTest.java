package org.damaskmoor.relay;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import org.damaskmoor.platform.standin.ConfigurationJson;
import org.damaskmoor.platform.standin.RawCaller;
import org.damaskmoor.platform.standin.UpstreamStandIn;
import org.damaskmoor.relay.fixture.InProcessRelay;
import org.damaskmoor.relay.fixture.TestFleet;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Requests that callers send to a relay at any moment of its planned stop. */
class PlannedStopRequestsTest {
    private static final long STOP_MILLISECONDS = 6000;
    private static final long SEND_INTERVAL_MILLISECONDS = 300;
    private static final long POLL_MILLISECONDS = 20;
    private static final int SLOTS = 400;

    /** From this time on, an upstream that is still at work may be left alone. */
    private static final long LAST_SIXTH_MILLISECONDS = STOP_MILLISECONDS * 5 / 6;

    private static final long[] WORK_MILLISECONDS = {50, 400, 1500, 4000};

    private TestFleet fleet;
    private UpstreamStandIn upstream;
    private UpstreamStandIn unused;
    private InProcessRelay target;
    private InProcessRelay entry;
    private volatile long stoppedAt;
    private final List<String> faults = new CopyOnWriteArrayList<>();
    private final List<Thread> callers = new ArrayList<>();

    @BeforeEach
    void start() throws Exception {
        fleet = new TestFleet();
        fleet.store.putConfiguration(ConfigurationJson.of(2, "").replace("2000ms", "9000ms"));
        upstream = new UpstreamStandIn();
        upstream.setScript(
                (request, connection) -> {
                    Thread.sleep(Long.parseLong(request.line().split("[/ ]", -1)[3]));
                    UpstreamStandIn.answerOk(request, connection);
                });
        unused = new UpstreamStandIn();
        target = fleet.relay("target", upstream);
        target.announce("i-1", 100, 2, "ready", SLOTS);
        entry =
                new InProcessRelay(
                        "entry",
                        "other",
                        unused.address(),
                        fleet.store.address(),
                        STOP_MILLISECONDS);
        TestFleet.await(entry::isReady);
        TestFleet.await(() -> entry.log().contains("event=member-added node=target"));
    }

    @AfterEach
    void stop() throws Exception {
        entry.close();
        target.close();
        upstream.close();
        unused.close();
        fleet.close();
    }

    @Test
    void should_answer_or_refuse_each_request_when_it_is_sent_at_any_moment_of_a_planned_stop()
            throws Exception {
        // given callers that start at any moment, on kept, new and pipelined connections
        for (long at = 0; at <= STOP_MILLISECONDS; at += SEND_INTERVAL_MILLISECONDS) {
            for (long work : WORK_MILLISECONDS) {
                for (boolean idempotent : new boolean[] {true, false}) {
                    String name = at + "-" + work + (idempotent ? "-read" : "-order");
                    RawCaller kept = entry.caller();
                    long wait = at;
                    call(() -> send(kept, "kept-" + name, work, wait, 1));
                    call(() -> send(null, "new-" + name, work, wait, 1));
                    if (work < 1000) {
                        RawCaller piped = entry.caller();
                        call(() -> send(piped, "piped-" + name, work, wait, 2));
                    }
                }
            }
        }

        // when
        callers.forEach(Thread::start);
        CompletableFuture<Void> stopped = entry.stop();
        stoppedAt = System.nanoTime();
        stopped.get();
        long took = sinceStop();
        for (Thread caller : callers) {
            caller.join();
        }

        // then
        assertThat(faults).isEmpty();
        assertThat(took).isLessThan(STOP_MILLISECONDS);
    }

    /** Milliseconds since the planned stop began. */
    private long sinceStop() {
        return (System.nanoTime() - stoppedAt) / 1_000_000;
    }

    private void call(Callable<Void> action) {
        Thread caller =
                new Thread(
                        () -> {
                            try {
                                action.call();
                            } catch (Exception failure) {
                                faults.add(failure.toString());
                            }
                        });
        callers.add(caller);
    }

    private Void send(RawCaller open, String name, long work, long wait, int count)
            throws Exception {
        while (stoppedAt == 0) {
            Thread.sleep(POLL_MILLISECONDS);
        }
        Thread.sleep(Math.max(0, wait - sinceStop()));
        long sentAt = sinceStop();
        RawCaller caller = open;
        int answers = 0;
        boolean closed = false;
        boolean refused = false;
        try {
            if (caller == null) {
                caller = entry.caller();
            }
            StringBuilder requests = new StringBuilder();
            for (int i = 0; i < count; i++) {
                requests.append(request(name + "-" + i, work));
            }
            caller.send(requests.toString());
            for (; answers < count && !closed; answers++) {
                String id = name + "-" + answers;
                RawCaller.Answer answer = caller.readAnswer();
                long took = sinceStop() - sentAt;
                closed = "close".equals(answer.headers().get("connection"));
                refused = answer.isNotRun();
                check(id, answer, sentAt, took);
            }
            if (closed && !caller.isClosed()) {
                faults.add(name + " goes on after the close");
            }
        } catch (IOException cut) {
            if (sinceStop() < LAST_SIXTH_MILLISECONDS) {
                faults.add(name + " was cut, sent at " + sentAt + ": " + cut);
            }
        } finally {
            if (caller != null) {
                caller.close();
            }
        }
        for (int i = answers; i < count; i++) {
            String id = name + "-" + i;
            if (upstream.runCount(id) > 0) {
                faults.add(id + " was run and not answered, sent at " + sentAt);
            } else if (closed && !refused) {
                faults.add(id + " was read and not answered, sent at " + sentAt);
            }
        }
        return null;
    }

    private void check(String id, RawCaller.Answer answer, long sentAt, long took) {
        if (upstream.runCount(id) > 1) {
            faults.add(id + " was run twice");
        }
        if (answer.status() == 200) {
            if (!answer.isOwn(id)) {
                faults.add(id + " got the answer " + answer);
            }
        } else if (answer.isNotRun()) {
            if (upstream.runCount(id) > 0 || !answer.headers().containsKey("retry-after")) {
                faults.add(id + " was refused with " + answer);
            }
        } else if (sentAt + took < LAST_SIXTH_MILLISECONDS) {
            faults.add(id + " got " + answer + " sent at " + sentAt + " after " + took);
        }
    }

    private static String request(String id, long work) {
        String text =
                id.contains("read")
                        ? RawCaller.get("/read/" + work, id)
                        : RawCaller.post("/order/" + work, id, "body");
        return text.replace("Deadline-Ms: 3000", "Deadline-Ms: 9000");
    }
}
