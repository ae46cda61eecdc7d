package org.damaskmoor.core.settings;

/**
 * One setting with a missing or invalid value. Immutable and thread-safe.
 *
 * @param flag the flag, also if the value came from the environment
 * @param value the given value, empty if none was given
 * @param allowed description of the allowed values
 */
public record SettingFault(String flag, String value, String allowed) {
    @Override
    public String toString() {
        if (value.isEmpty()) {
            return flag + " is required; allowed: " + allowed;
        }
        return flag + " has the value '" + value + "'; allowed: " + allowed;
    }
}
