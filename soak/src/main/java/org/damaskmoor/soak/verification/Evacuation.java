package org.damaskmoor.soak.verification;

import java.util.Set;

/**
 * A time in which the store held the row that evacuates a data centre. Immutable and thread-safe.
 *
 * @param relays the relays of the data centre
 * @param from when the store had acknowledged the row, in milliseconds
 * @param until when its removal began, in milliseconds
 */
public record Evacuation(Set<Integer> relays, long from, long until) {}
