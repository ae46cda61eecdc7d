package org.damaskmoor.operator.internal.command;

import com.google.protobuf.InvalidProtocolBufferException;
import com.google.protobuf.util.JsonFormat;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import org.damaskmoor.core.settings.SettingsException;
import org.damaskmoor.operator.ExitCode;
import org.damaskmoor.operator.OperatorException;
import org.damaskmoor.schema.configuration.ServiceConfiguration;

/** Reads the JSON form of a service. Stateless. */
final class ServiceFile {
    private static final String STANDARD_INPUT = "-";

    private ServiceFile() {}

    static ServiceConfiguration read(String file, InputStream input)
            throws SettingsException, OperatorException {
        String text;
        try {
            byte[] bytes =
                    file.equals(STANDARD_INPUT)
                            ? input.readAllBytes()
                            : Files.readAllBytes(Path.of(file));
            text = new String(bytes, StandardCharsets.UTF_8);
        } catch (IOException | IllegalArgumentException unreadable) {
            throw NodeCallCommand.invalidValue(
                    "--file", file, "a readable file or - for standard input (" + unreadable + ")");
        }
        return parse(file, text);
    }

    private static ServiceConfiguration parse(String file, String text) throws OperatorException {
        ServiceConfiguration.Builder service = ServiceConfiguration.newBuilder();
        try {
            JsonFormat.parser().merge(text, service);
        } catch (InvalidProtocolBufferException unreadable) {
            throw new OperatorException(
                    ExitCode.INVALID_CONFIGURATION,
                    "The file " + file + " is not a valid ServiceConfiguration; nothing was sent.",
                    String.valueOf(unreadable.getMessage()),
                    "Write it as the JSON form of ServiceConfiguration; 'service show --output"
                            + " json' prints one under \"service\".");
        }
        return service.build();
    }
}
