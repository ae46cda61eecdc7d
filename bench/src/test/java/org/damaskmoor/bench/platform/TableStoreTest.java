package org.damaskmoor.bench.platform;

import static com.google.common.truth.Truth.assertThat;

import com.google.protobuf.ByteString;
import java.util.List;
import java.util.Optional;
import org.damaskmoor.bench.platform.TableStore.Condition;
import org.damaskmoor.bench.platform.TableStore.Operation;
import org.damaskmoor.bench.platform.TableStore.Result;
import org.junit.jupiter.api.Test;

class TableStoreTest {
    private final TableStore store = new TableStore();

    private Result write(Condition condition, Optional<ByteString> value) {
        return store.apply(List.of(new Operation("leases", "merge", condition, value)));
    }

    @Test
    void should_refuse_a_stale_tag_when_the_row_was_deleted_and_recreated() {
        // given
        Optional<ByteString> value = Optional.of(ByteString.copyFromUtf8("holder"));
        String stale = write(Condition.ABSENT, value).entityTags().get(0);
        write(Condition.match(stale), Optional.empty());
        write(Condition.ABSENT, value);

        // when
        Result result = write(Condition.match(stale), value);

        // then
        assertThat(result.failedOperation()).hasValue(0);
    }
}
