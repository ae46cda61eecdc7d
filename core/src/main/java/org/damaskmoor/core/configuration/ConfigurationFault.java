package org.damaskmoor.core.configuration;

/**
 * One validation error in a configuration. Immutable and thread-safe.
 *
 * @param field path of the field, for example {@code rules[2].importance}
 * @param problem what is wrong and what is allowed
 */
public record ConfigurationFault(String field, String problem) {}
