package org.damaskmoor.core.settings;

/**
 * One setting that cannot be used. Immutable and thread-safe.
 *
 * @param flag the flag, also when the value came from the environment
 * @param value the value given, empty when none was
 * @param allowed what is allowed
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
