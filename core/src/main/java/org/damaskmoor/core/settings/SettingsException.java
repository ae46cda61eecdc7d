package org.damaskmoor.core.settings;

import java.util.List;
import java.util.stream.Collectors;

/** Settings with faults. The message names every fault on a line of its own. Immutable. */
public final class SettingsException extends Exception {
    private static final long serialVersionUID = 1L;

    private final transient List<SettingFault> faults;

    public SettingsException(List<SettingFault> faults) {
        super(faults.stream().map(SettingFault::toString).collect(Collectors.joining("\n")));
        this.faults = List.copyOf(faults);
    }

    /** Every fault, in the order of the schema. */
    public List<SettingFault> faults() {
        return faults;
    }
}
