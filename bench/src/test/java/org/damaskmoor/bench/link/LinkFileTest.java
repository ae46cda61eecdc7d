package org.damaskmoor.bench.link;

import static com.google.common.truth.Truth.assertThat;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import org.damaskmoor.bench.http.JsonObject;
import org.junit.jupiter.api.Test;

class LinkFileTest {
    private static final String BERN =
            """
            {"data_centres": {"bern-nord": "mittelland", "bern-sued": "mittelland",
              "spiez": "oberland"},
             "ports": {"7400": "bern-nord", "7500": "bern-sued", "7600": "spiez"},
             "between_data_centres": {"delay_milliseconds": 1},
             "between_regions": {"delay_milliseconds": 30, "bits_per_second": 30000000},
             "cuts": [CUTS]}
            """;

    private static LinkFile file(String cuts) {
        return new LinkFile(JsonObject.parse(BERN.replace("CUTS", cuts)));
    }

    private static InetSocketAddress at(int port) {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
    }

    @Test
    void should_use_the_region_profile_when_data_centres_are_in_different_regions() {
        LinkTable links = new LinkTable("bern-nord", file(""), () -> 0);

        assertThat(links.find(at(7400))).isEmpty();
        assertThat(links.find(at(9999))).isEmpty();
        assertThat(links.find(at(7500)).get().outgoing().profile())
                .isEqualTo(new Link.Profile(TimeUnit.MILLISECONDS.toNanos(1), 0, false, 0));
        assertThat(links.find(at(7600)).get().outgoing().profile())
                .isEqualTo(
                        new Link.Profile(TimeUnit.MILLISECONDS.toNanos(30), 30_000_000, false, 0));
    }

    @Test
    void should_cut_only_the_named_link_when_the_file_changes() {
        // given
        LinkTable links = new LinkTable("bern-nord", file(""), () -> 0);
        Link dataCentreLink = links.find(at(7500)).get().outgoing();
        Link regionLink = links.find(at(7600)).get().outgoing();

        // when
        links.change(file("\"oberland/mittelland\""));

        // then
        assertThat(dataCentreLink.profile().cut()).isFalse();
        assertThat(regionLink.profile().cut()).isTrue();
    }
}
