package org.damaskmoor.report.internal;

import static com.google.common.truth.Truth.assertThat;

import com.google.protobuf.InvalidProtocolBufferException;
import com.google.protobuf.Struct;
import com.google.protobuf.util.JsonFormat;
import java.util.List;
import org.junit.jupiter.api.Test;

class ReportRendererTest {
    private static final Report REPORT =
            new Report(
                    "Refusals <now>",
                    List.of(
                            new Report.Table(
                                    "refusals",
                                    List.of("caller", "refusals"),
                                    List.of(List.of("a&b", 3L)))),
                    List.of(
                            new Report.Plot(
                                    "by caller", "refusals", List.of("a&b"), List.of(3.0))));

    @Test
    void should_align_columns_as_text() {
        assertThat(ReportRenderer.text(REPORT))
                .isEqualTo("Refusals <now>\n\nrefusals\ncaller  refusals\na&b     3\n");
    }

    @Test
    void should_write_one_object_per_row_in_json() throws InvalidProtocolBufferException {
        // when
        Struct.Builder parsed = Struct.newBuilder();
        JsonFormat.parser().merge(ReportRenderer.json(REPORT), parsed);

        // then
        Struct row =
                parsed.getFieldsOrThrow("refusals").getListValue().getValues(0).getStructValue();
        assertThat(row.getFieldsOrThrow("refusals").getNumberValue()).isEqualTo(3);
        assertThat(row.getFieldsOrThrow("caller").getStringValue()).isEqualTo("a&b");
        assertThat(row.getFieldsCount()).isEqualTo(2);
    }

    @Test
    void should_escape_names_and_embed_plots_in_html() {
        assertThat(ReportRenderer.html(REPORT)).contains("<td>a&amp;b</td>");
        assertThat(ReportRenderer.html(REPORT)).contains("Refusals &lt;now&gt;");
        assertThat(ReportRenderer.html(REPORT)).contains("data:image/png;base64,");
    }
}
