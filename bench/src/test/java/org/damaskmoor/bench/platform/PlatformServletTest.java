package org.damaskmoor.bench.platform;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.google.protobuf.ByteString;
import java.io.IOException;
import java.time.Duration;
import org.damaskmoor.bench.http.BlockingClient;
import org.damaskmoor.bench.http.EventLoopServer;
import org.damaskmoor.bench.http.JsonObject;
import org.damaskmoor.bench.http.Reply;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class PlatformServletTest {
    private static final ByteString FIRST = ByteString.copyFromUtf8("first");
    private static final ByteString SECOND = ByteString.copyFromUtf8("second");

    private EventLoopServer server;
    private BlockingClient client;
    private String url;

    @BeforeEach
    void start() throws IOException {
        server = new EventLoopServer("platform", 0, PlatformServlet::new);
        client = new BlockingClient(Duration.ofSeconds(20));
        url = "http://127.0.0.1:" + server.port();
    }

    @AfterEach
    void stop() {
        client.close();
        server.close();
    }

    @Test
    void should_refuse_creation_when_row_exists() throws IOException {
        // given
        Reply created = client.create(url + "/tables/leases/rows/a%20b", FIRST);

        // when
        Reply repeated = client.create(url + "/tables/leases/rows/a%20b", SECOND);

        // then
        assertThat(created.status()).isEqualTo(201);
        assertThat(repeated.status()).isEqualTo(412);
        assertThat(client.get(url + "/tables/leases/rows/a%20b").body()).isEqualTo(FIRST);
    }

    @Test
    void should_list_rows_by_prefix_after_a_key_when_scanned() throws IOException {
        // given
        for (String key : new String[] {"n.3", "n.1", "m.9", "n.2"}) {
            client.create(url + "/tables/join-points/rows/" + key, FIRST);
        }

        // when
        Reply page = client.get(url + "/tables/join-points/rows?prefix=n.&after=n.1&limit=1");

        // then
        JsonObject rows = JsonObject.parse(page.body().toStringUtf8());
        assertThat(rows.list("rows", JsonObject.class)).hasSize(1);
        assertThat(rows.list("rows", JsonObject.class).get(0).text("key", "")).isEqualTo("n.2");
    }

    @Test
    void should_apply_nothing_when_one_operation_of_a_transaction_fails() throws IOException {
        // given
        client.create(url + "/tables/claims/rows/taken", FIRST);

        // when
        Reply reply =
                client.post(
                        url + "/transactions",
                        """
                        {"operations": [
                          {"table": "claims", "key": "free",
                           "if_none_match": true, "value": "eA=="},
                          {"table": "claims", "key": "taken",
                           "if_none_match": true, "value": "eA=="}
                        ]}
                        """);

        // then
        assertThat(reply.status()).isEqualTo(412);
        assertThat(reply.body().toStringUtf8()).isEqualTo("{\"failed_operation\":1}");
        assertThat(client.get(url + "/tables/claims/rows/free").status()).isEqualTo(404);
    }

    @Test
    void should_apply_writes_without_an_answer_when_answers_are_lost() throws IOException {
        // given
        client.post(url + "/stand-in/faults", "{\"mode\": \"lose-answers\"}");

        // when
        assertThrows(
                IOException.class, () -> client.create(url + "/objects/refusals/1/n/1", FIRST));

        // then
        assertThat(client.get(url + "/objects/refusals/1/n/1").body()).isEqualTo(FIRST);
    }

    @Test
    void should_not_apply_writes_when_down() throws IOException {
        // given
        client.post(url + "/stand-in/faults", "{\"mode\": \"down\"}");

        // when
        Reply refused = client.create(url + "/tables/leases/rows/merge", FIRST);
        client.post(url + "/stand-in/faults", "{\"mode\": \"none\"}");

        // then
        assertThat(refused.status()).isEqualTo(503);
        assertThat(client.get(url + "/tables/leases/rows/merge").status()).isEqualTo(404);
    }
}
