package org.damaskmoor.core.settings;

import com.google.protobuf.Descriptors.Descriptor;
import com.google.protobuf.Descriptors.FieldDescriptor;
import com.google.protobuf.Descriptors.FieldDescriptor.JavaType;
import com.google.protobuf.Message;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.regex.Pattern;
import org.damaskmoor.schema.settings.Setting;
import org.damaskmoor.schema.settings.SettingsProto;

/**
 * Reads a settings message from flags and environment variables and checks every value against its
 * schema. A flag takes precedence over the environment variable, which takes precedence over the
 * default.
 *
 * <pre>{@code
 * NodeSettings settings =
 *         SettingsReader.read(NodeSettings.getDefaultInstance(), options.given(), System.getenv());
 * }</pre>
 *
 * <p>Stateless and thread-safe.
 */
public final class SettingsReader {
    private static final String ENVIRONMENT_PREFIX = "DAMASKMOOR_";

    private SettingsReader() {}

    /**
     * Reads and validates a settings message.
     *
     * @param type any instance of the settings message
     * @param flags given flags, by name with dashes
     * @param environment environment variables
     * @throws SettingsException with every fault found
     */
    @SuppressWarnings("unchecked")
    public static <T extends Message> T read(
            T type, Map<String, String> flags, Map<String, String> environment)
            throws SettingsException {
        Message.Builder builder = type.newBuilderForType();
        List<SettingFault> faults = new ArrayList<>();
        for (FieldDescriptor field : type.getDescriptorForType().getFields()) {
            readField(field, flags, environment, builder).ifPresent(faults::add);
        }
        if (!faults.isEmpty()) {
            throw new SettingsException(faults);
        }
        return (T) builder.build();
    }

    /** Returns the environment variable that corresponds to a flag of the settings message. */
    public static String environmentVariable(Descriptor settings, String flag) {
        String prefix = settings.getOptions().getExtension(SettingsProto.environmentPrefix);
        return (prefix.isEmpty() ? ENVIRONMENT_PREFIX : prefix)
                + flag.substring(2).replace('-', '_').toUpperCase(Locale.ROOT);
    }

    private static Optional<SettingFault> readField(
            FieldDescriptor field,
            Map<String, String> flags,
            Map<String, String> environment,
            Message.Builder builder) {
        Setting setting = field.getOptions().getExtension(SettingsProto.setting);
        String variable = environmentVariable(field.getContainingType(), setting.getFlag());
        String value =
                flags.getOrDefault(
                        setting.getFlag(),
                        environment.getOrDefault(variable, setting.getDefaultValue()));
        if (value.isEmpty() && setting.getRequired()) {
            return Optional.of(new SettingFault(setting.getFlag(), "", describeAllowed(setting)));
        }
        if (value.isEmpty()) {
            return Optional.empty();
        }
        if (field.getJavaType() == JavaType.STRING) {
            return readText(field, setting, value, builder);
        }
        return readNumber(field, setting, value, builder);
    }

    private static Optional<SettingFault> readText(
            FieldDescriptor field, Setting setting, String value, Message.Builder builder) {
        boolean inList = setting.getAllowedCount() == 0 || setting.getAllowedList().contains(value);
        boolean matches =
                setting.getPattern().isEmpty() || Pattern.matches(setting.getPattern(), value);
        if (!inList || !matches) {
            return Optional.of(
                    new SettingFault(setting.getFlag(), value, describeAllowed(setting)));
        }
        builder.setField(field, value);
        return Optional.empty();
    }

    private static Optional<SettingFault> readNumber(
            FieldDescriptor field, Setting setting, String value, Message.Builder builder) {
        SettingFault fault = new SettingFault(setting.getFlag(), value, describeAllowed(setting));
        long number;
        try {
            number = Long.parseLong(value);
        } catch (NumberFormatException notANumber) {
            return Optional.of(fault);
        }
        if (number < setting.getMinimum() || number > setting.getMaximum()) {
            return Optional.of(fault);
        }
        boolean isInteger = field.getJavaType() == JavaType.INT;
        builder.setField(field, isInteger ? (Object) (int) number : (Object) number);
        return Optional.empty();
    }

    private static String describeAllowed(Setting setting) {
        if (setting.getAllowedCount() > 0) {
            return String.join(", ", setting.getAllowedList());
        }
        if (!setting.getPattern().isEmpty()) {
            return "text that matches " + setting.getPattern();
        }
        if (setting.getMaximum() > 0) {
            String range = setting.getMinimum() + " to " + setting.getMaximum();
            return (range + " " + setting.getUnit()).trim();
        }
        return "any text";
    }
}
