package org.damaskmoor.core.settings;

import static com.google.common.truth.Truth.assertThat;

import com.google.protobuf.Descriptors.Descriptor;
import com.google.protobuf.Descriptors.FieldDescriptor;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.damaskmoor.schema.settings.NodeSettings;
import org.damaskmoor.schema.settings.OperatorSettings;
import org.damaskmoor.schema.settings.Setting;
import org.damaskmoor.schema.settings.SettingsProto;
import org.junit.jupiter.api.Test;

class SettingsDocumentationTest {
    private final String page;

    SettingsDocumentationTest() throws IOException {
        page = Files.readString(Path.of("..", "docs", "SETTINGS.md"));
    }

    @Test
    void should_describe_every_node_setting_of_the_schema() {
        assertEachIsDescribed(NodeSettings.getDescriptor());
    }

    @Test
    void should_describe_every_operator_setting_of_the_schema() {
        assertEachIsDescribed(OperatorSettings.getDescriptor());
    }

    private void assertEachIsDescribed(Descriptor settings) {
        for (FieldDescriptor field : settings.getFields()) {
            Setting setting = field.getOptions().getExtension(SettingsProto.setting);
            assertThat(page).contains("| `" + setting.getFlag() + "` |");
            assertThat(page).contains("| " + setting.getDescription() + " |");
        }
    }
}
