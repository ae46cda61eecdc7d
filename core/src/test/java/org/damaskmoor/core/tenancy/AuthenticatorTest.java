package org.damaskmoor.core.tenancy;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.damaskmoor.core.id.TenantName;
import org.damaskmoor.core.tenancy.Authentication.Detail;
import org.damaskmoor.core.tenancy.Authentication.Outcome;
import org.junit.jupiter.api.Test;

/** Guards against requests that are served without a valid key, or refused with one. */
class AuthenticatorTest {
    private static final Tenant SHOP = tenant("shop", "key-1", "key-2");
    private static final Tenant BANK = tenant("bank", "key-3");
    private static final TenantTable TENANTS = TenantTable.of(List.of(SHOP, BANK));
    private static final List<String> KEY = List.of("Bearer key-2");

    @Test
    void should_admit_a_request_with_a_known_key() {
        assertThat(authenticate(KEY))
                .isEqualTo(Authentication.admitted(Optional.of(SHOP), Detail.KNOWN));
        assertThat(authenticate(List.of("bearer  key-3 ")).tenant()).hasValue(BANK);
    }

    @Test
    void should_refuse_a_request_without_a_valid_key() {
        assertUnauthenticated(Detail.UNKNOWN, "Bearer key-9");
        assertUnauthenticated(Detail.MISSING);
        assertUnauthenticated(Detail.DUPLICATED, "Bearer key-1", "Bearer key-1");
        assertUnauthenticated(Detail.OTHER_SCHEME, "Basic key-1");
        assertUnauthenticated(Detail.OTHER_SCHEME, "key-1");
        assertUnauthenticated(Detail.OTHER_SCHEME, "Bearerkey-1");
        assertUnauthenticated(Detail.OTHER_SCHEME, "");
        assertUnauthenticated(Detail.MALFORMED, "Bearer");
        assertUnauthenticated(Detail.MALFORMED, "Bearer   ");
        assertUnauthenticated(Detail.MALFORMED, "Bearer key-1 key-2");
        assertUnauthenticated(Detail.UNKNOWN, "Bearer key-1,key-2");
        assertUnauthenticated(Detail.UNKNOWN, "Bearer " + "k".repeat(10_000));
    }

    @Test
    void should_refuse_known_and_unknown_keys_alike_without_proof() {
        for (String key : List.of("key-1", "key-9")) {
            // when
            Authentication result =
                    Authenticator.authenticate(TENANTS, false, List.of("Bearer " + key), false);

            // then
            assertThat(result).isEqualTo(Authentication.refused(Outcome.UNPROVEN, Detail.UNPROVEN));
        }
    }

    @Test
    void should_serve_a_public_route_whatever_the_key_is() {
        for (List<String> credentials :
                List.of(
                        List.<String>of(),
                        List.of("Bearer key-9"),
                        List.of("Basic key-1"),
                        List.of("Bearer key-1", "Bearer key-1"))) {
            // when
            Authentication result = Authenticator.authenticate(TENANTS, true, credentials, true);

            // then
            assertThat(result.outcome()).isEqualTo(Outcome.ADMITTED);
            assertThat(result.tenant()).isEmpty();
        }
    }

    @Test
    void should_know_the_tenant_on_a_public_route_only_with_proof() {
        assertThat(Authenticator.authenticate(TENANTS, true, KEY, true).tenant()).hasValue(SHOP);

        // when
        Authentication unproven = Authenticator.authenticate(TENANTS, true, KEY, false);

        // then
        assertThat(unproven.outcome()).isEqualTo(Outcome.ADMITTED);
        assertThat(unproven.tenant()).isEmpty();
    }

    @Test
    void should_check_nothing_without_tenants() {
        // when
        Authentication result =
                Authenticator.authenticate(TenantTable.NOT_CONFIGURED, false, List.of(), false);

        // then
        assertThat(result).isEqualTo(Authentication.admitted(Optional.empty(), Detail.NOT_CHECKED));
    }

    /** Guards against keys that are not checked any more once all tenants have been removed. */
    @Test
    void should_refuse_every_request_when_the_list_of_tenants_is_empty() {
        // given
        TenantTable nobody = TenantTable.of(List.of());

        // when
        Authentication withKey = Authenticator.authenticate(nobody, false, KEY, true);
        Authentication withoutKey = Authenticator.authenticate(nobody, false, List.of(), true);
        Authentication withoutProof = Authenticator.authenticate(nobody, false, KEY, false);

        // then
        assertThat(withKey)
                .isEqualTo(Authentication.refused(Outcome.UNAUTHENTICATED, Detail.UNKNOWN));
        assertThat(withoutKey)
                .isEqualTo(Authentication.refused(Outcome.UNAUTHENTICATED, Detail.MISSING));
        assertThat(withoutProof)
                .isEqualTo(Authentication.refused(Outcome.UNPROVEN, Detail.UNPROVEN));
    }

    @Test
    void should_tell_keys_from_other_credentials() {
        assertThat(Authenticator.containKey(List.of("Bearer key-1"))).isTrue();
        assertThat(Authenticator.containKey(List.of("Basic abc", " bearer key-1"))).isTrue();
        assertThat(Authenticator.containKey(List.of("Bearer"))).isTrue();
        assertThat(Authenticator.containKey(List.of("Basic Bearer"))).isFalse();
        assertThat(Authenticator.containKey(List.of())).isFalse();
    }

    @Test
    void should_not_contain_the_key() {
        assertThat(authenticate(KEY).toString()).doesNotContain("key-2");
        assertThat(authenticate(List.of("Bearer key-9")).toString()).doesNotContain("key-9");
    }

    private static void assertUnauthenticated(Detail detail, String... credentials) {
        assertThat(authenticate(List.of(credentials)))
                .isEqualTo(Authentication.refused(Outcome.UNAUTHENTICATED, detail));
    }

    private static Authentication authenticate(List<String> credentials) {
        return Authenticator.authenticate(TENANTS, false, credentials, true);
    }

    private static Tenant tenant(String name, String... keys) {
        return new Tenant(
                new TenantName(name),
                Set.of(keys).stream().map(ApiKey::new).collect(java.util.stream.Collectors.toSet()),
                0,
                RequestQuota.UNLIMITED,
                Set.of());
    }
}
