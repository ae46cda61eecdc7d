package org.damaskmoor.core.settings;

import java.util.List;
import java.util.stream.Collectors;

/** Thrown for invalid settings. The message lists every fault on its own line. Immutable. */
public final class SettingsException extends Exception {
    private static final long serialVersionUID = 1L;

    private final transient List<SettingFault> faults;

    public SettingsException(List<SettingFault> faults) {
        super(faults.stream().map(SettingFault::toString).collect(Collectors.joining("\n")));
        this.faults = List.copyOf(faults);
    }

    /** Returns every fault, in the order of the schema. */
    public List<SettingFault> faults() {
        return faults;
    }
}
