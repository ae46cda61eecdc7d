package org.damaskmoor.operator.internal.completion;

import com.github.rvesse.airline.model.CommandGroupMetadata;
import com.github.rvesse.airline.model.CommandMetadata;
import com.github.rvesse.airline.model.GlobalMetadata;
import com.github.rvesse.airline.model.OptionMetadata;
import com.google.protobuf.Descriptors.FieldDescriptor;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeSet;
import org.damaskmoor.schema.settings.OperatorSettings;
import org.damaskmoor.schema.settings.Setting;
import org.damaskmoor.schema.settings.SettingsProto;

/**
 * Generates the bash completion script for commands, flags and values from the command model.
 * Immutable and thread-safe.
 */
public final class BashCompletion {
    private static final String FUNCTION = "_damaskmoor_operator";

    private final GlobalMetadata<?> program;

    public BashCompletion(GlobalMetadata<?> program) {
        this.program = program;
    }

    /** Returns the script, to be sourced by bash. */
    public String script() {
        StringBuilder script = new StringBuilder();
        line(script, FUNCTION + "() {");
        line(script, "    local word=\"${COMP_WORDS[COMP_CWORD]}\"");
        line(script, "    case \"${COMP_WORDS[COMP_CWORD - 1]}\" in");
        appendValues(script);
        line(script, "        *file) COMPREPLY=($(compgen -f -- \"$word\")); return ;;");
        line(script, "    esac");
        line(script, "    local path=\"\"");
        line(script, "    [ \"$COMP_CWORD\" -gt 1 ] && path=\"${COMP_WORDS[1]}\"");
        line(script, "    [ \"$COMP_CWORD\" -gt 2 ] && path=\"$path ${COMP_WORDS[2]}\"");
        line(script, "    local words=\"\"");
        line(script, "    case \"$path\" in");
        appendWords(script);
        line(script, "    esac");
        line(script, "    COMPREPLY=($(compgen -W \"$words\" -- \"$word\"))");
        line(script, "}");
        line(script, "complete -F " + FUNCTION + " " + program.getName());
        return script.toString();
    }

    private static void appendValues(StringBuilder script) {
        for (FieldDescriptor field : OperatorSettings.getDescriptor().getFields()) {
            Setting setting = field.getOptions().getExtension(SettingsProto.setting);
            if (setting.getAllowedCount() > 0) {
                String values = String.join(" ", setting.getAllowedList());
                line(
                        script,
                        "        "
                                + setting.getFlag()
                                + ") COMPREPLY=($(compgen -W \""
                                + values
                                + "\" -- \"$word\")); return ;;");
            }
        }
    }

    private void appendWords(StringBuilder script) {
        List<String> topLevelWords = new ArrayList<>();
        for (CommandGroupMetadata group : program.getCommandGroups()) {
            topLevelWords.add(group.getName());
            for (CommandMetadata command : group.getCommands()) {
                appendCase(
                        script,
                        "\"" + group.getName() + " " + command.getName() + "\"",
                        flags(command));
            }
            List<String> names =
                    group.getCommands().stream().map(CommandMetadata::getName).toList();
            appendCase(script, "\"" + group.getName() + "\"", names);
        }
        for (CommandMetadata command : program.getDefaultGroupCommands()) {
            topLevelWords.add(command.getName());
            String name = "\"" + command.getName() + "\"";
            appendCase(script, name + " | " + name + "\\ *", flags(command));
        }
        appendCase(script, "\"\"", topLevelWords);
    }

    private static List<String> flags(CommandMetadata command) {
        TreeSet<String> flags = new TreeSet<>();
        for (OptionMetadata option : command.getAllOptions()) {
            option.getOptions().stream().filter(name -> name.startsWith("--")).forEach(flags::add);
        }
        return List.copyOf(flags);
    }

    private static void appendCase(StringBuilder script, String pattern, List<String> words) {
        line(script, "        " + pattern + ") words=\"" + String.join(" ", words) + "\" ;;");
    }

    private static void line(StringBuilder script, String text) {
        script.append(text).append('\n');
    }
}
