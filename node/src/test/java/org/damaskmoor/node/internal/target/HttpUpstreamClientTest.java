package org.damaskmoor.node.internal.target;

import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.US_ASCII;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.damaskmoor.node.internal.eventloop.EventLoopThread;
import org.damaskmoor.schema.mesh.Call;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

final class HttpUpstreamClientTest {
    private static final int MAXIMUM_BODY_BYTES = 1024;
    private static final long TIMEOUT_MILLISECONDS = 2000;

    private ServerSocket upstream;
    private EventLoopThread loop;
    private HttpUpstreamClient client;
    private volatile boolean closesAfterAnswer;

    /** Returns the bytes that the upstream writes after it has read a request for the path. */
    @FunctionalInterface
    private interface Script {
        String answer(String path);
    }

    @BeforeEach
    void start() throws IOException {
        upstream = new ServerSocket(0, 16, InetAddress.getLoopbackAddress());
        loop = new EventLoopThread("upstream");
        client = new HttpUpstreamClient(loop.eventLoop(), MAXIMUM_BODY_BYTES);
    }

    @AfterEach
    void stop() throws IOException {
        upstream.close();
        loop.stop();
    }

    @Test
    void should_not_deliver_extra_response_to_next_call() throws Exception {
        // given
        serve(path -> response("answer to " + path) + response("extra answer"));

        // when
        UpstreamOutcome first = call("/first");
        UpstreamOutcome second = call("/second");

        // then
        assertThat(body(first)).isEqualTo("answer to /first");
        assertThat(body(second)).isEqualTo("answer to /second");
    }

    @Test
    void should_not_treat_interim_response_as_final() throws Exception {
        // given
        serve(path -> "HTTP/1.1 100 Continue\r\n\r\n" + response("answer to " + path));

        // when
        UpstreamOutcome outcome = call("/first");

        // then
        if (outcome instanceof UpstreamOutcome.Answered) {
            assertThat(body(outcome)).isEqualTo("answer to /first");
        } else {
            assertThat(outcome).isInstanceOf(UpstreamOutcome.Failed.class);
        }
    }

    @Test
    void should_fail_when_body_is_truncated() throws Exception {
        // given
        closesAfterAnswer = true;
        serve(path -> "HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\nanswer to");

        // when
        UpstreamOutcome outcome = call("/first");

        // then
        assertThat(outcome).isInstanceOf(UpstreamOutcome.Failed.class);
    }

    private UpstreamOutcome call(String path) throws Exception {
        CompletableFuture<UpstreamOutcome> outcome = new CompletableFuture<>();
        UpstreamAddress address =
                new UpstreamAddress(
                        upstream.getInetAddress().getHostAddress(), upstream.getLocalPort());
        Call call = Call.newBuilder().setMethod("GET").setTarget(path).build();
        loop.execute(() -> client.send(address, call, TIMEOUT_MILLISECONDS, outcome::complete));
        return outcome.get(2 * TIMEOUT_MILLISECONDS, TimeUnit.MILLISECONDS);
    }

    private static String body(UpstreamOutcome outcome) {
        assertThat(outcome).isInstanceOf(UpstreamOutcome.Answered.class);
        return ((UpstreamOutcome.Answered) outcome).answer().getBody().toStringUtf8();
    }

    private static String response(String body) {
        return "HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
    }

    private void serve(Script script) {
        Thread acceptor = new Thread(() -> acceptAll(script), "upstream");
        acceptor.setDaemon(true);
        acceptor.start();
    }

    private void acceptAll(Script script) {
        while (!upstream.isClosed()) {
            try {
                Socket accepted = upstream.accept();
                Thread serving = new Thread(() -> answerAll(accepted, script), "connection");
                serving.setDaemon(true);
                serving.start();
            } catch (IOException closed) {
                return;
            }
        }
    }

    private void answerAll(Socket accepted, Script script) {
        try (Socket socket = accepted) {
            BufferedReader requests =
                    new BufferedReader(new InputStreamReader(socket.getInputStream(), US_ASCII));
            OutputStream answers = socket.getOutputStream();
            String line = requests.readLine();
            while (line != null) {
                String path = line.split(" ", -1)[1];
                boolean last = false;
                for (String field = requests.readLine();
                        field != null && !field.isEmpty();
                        field = requests.readLine()) {
                    last |= field.equalsIgnoreCase("Connection: close");
                }
                String answer = script.answer(path);
                answers.write(answer.getBytes(US_ASCII));
                if (last || closesAfterAnswer) {
                    return;
                }
                line = requests.readLine();
            }
        } catch (IOException closed) {
            // The client closed the connection, as it does at the end of each test.
        }
    }
}
