package org.damaskmoor.core.routetable;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.damaskmoor.core.id.ServiceName;
import org.damaskmoor.core.tenancy.TenantTable;
import org.junit.jupiter.api.Test;

class RouteTableTest {
    private static final ServiceName BOOKS = new ServiceName("books");

    @Test
    void should_match_the_longest_path_prefix() {
        // given
        RouteTable table = table(route("short", "/a/"), route("long", "/a/b/"));

        // when, then
        assertThat(table.match("shop.example", "/a/b/c").get().name()).isEqualTo("long");
        assertThat(table.match("shop.example", "/a/bc").get().name()).isEqualTo("short");
        assertThat(table.match("shop.example", "/a/b/").get().name()).isEqualTo("long");
        assertThat(table.match("shop.example", "/a")).isEmpty();
    }

    @Test
    void should_ignore_the_port_and_the_case_of_a_host() {
        // given
        RouteTable table = table(route("only", "/"));

        // when, then
        assertThat(table.match("Shop.Example:8080", "/x")).isPresent();
        assertThat(table.match("other.example", "/x")).isEmpty();
    }

    @Test
    void should_reject_a_route_to_a_service_that_is_not_configured() {
        // when, then
        assertThrows(
                IllegalArgumentException.class,
                () ->
                        new RouteTable(
                                1,
                                List.of(route("lost", "/")),
                                List.of(),
                                CallerLimits.UNCONFIGURED,
                                TenantTable.NOT_CONFIGURED));
    }

    @Test
    void should_reject_two_routes_with_the_same_prefix() {
        // when, then
        assertThrows(
                IllegalArgumentException.class, () -> table(route("one", "/"), route("two", "/")));
    }

    @Test
    void should_reject_a_prefix_that_does_not_end_with_a_slash() {
        // when, then
        assertThrows(IllegalArgumentException.class, () -> route("bare", "/a"));
    }

    @Test
    void should_distribute_requests_close_to_the_weights() {
        // given
        ServiceName rare = new ServiceName("rare");
        SmoothWeightedRoundRobin roundRobin =
                new SmoothWeightedRoundRobin(
                        List.of(new WeightedService(BOOKS, 90), new WeightedService(rare, 10)), 7);

        // when
        Map<ServiceName, Integer> counts = new HashMap<>();
        for (int i = 0; i < 200; i++) {
            counts.merge(roundRobin.next(), 1, Integer::sum);
        }

        // then
        assertThat(counts.get(rare)).isIn(List.of(19, 20, 21));
    }

    @Test
    void should_never_select_a_service_with_weight_zero() {
        // given
        ServiceName none = new ServiceName("none");
        SmoothWeightedRoundRobin roundRobin =
                new SmoothWeightedRoundRobin(
                        List.of(new WeightedService(none, 0), new WeightedService(BOOKS, 3)), 1);

        // when, then
        for (int i = 0; i < 20; i++) {
            assertThat(roundRobin.next()).isEqualTo(BOOKS);
        }
    }

    private static RouteTable table(Route... routes) {
        return new RouteTable(
                1,
                List.of(routes),
                List.of(new ServiceDefinition(BOOKS, "/healthz", 10, ColdStart.NONE)),
                CallerLimits.UNCONFIGURED,
                TenantTable.NOT_CONFIGURED);
    }

    private static Route route(String name, String prefix) {
        return new Route(
                name,
                "shop.example",
                prefix,
                true,
                1000,
                500,
                0,
                List.of(new WeightedService(BOOKS, 1)),
                2,
                false,
                Set.of());
    }
}
