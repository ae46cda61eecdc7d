package org.damaskmoor.relay.internal.target;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * The request ids that open connections have carried, so that no connection carries one twice.
 *
 * <p>An upstream may answer a call again later, and the id of an answer can't tell two calls with
 * one id apart.
 *
 * <p>Confined to the event loop. Invariants: a connection is reported to have carried each id that
 * was added since it was opened; it needs memory for {@link #MAX_IDS} ids at most, however long
 * they are.
 *
 * @param <C> the connections
 */
final class CarriedRequestIds<C> {
    /** Ids after which a connection is exhausted and must not carry another call. */
    static final int MAX_IDS = 1000;

    /** Ids are kept as hash codes: a collision costs a new connection only. */
    private final Map<C, Set<Integer>> hashesByConnection = new HashMap<>();

    /** Adds the id of a call that is sent over the connection. */
    void add(C connection, String requestId) {
        hashesByConnection
                .computeIfAbsent(connection, opened -> new HashSet<>())
                .add(requestId.hashCode());
    }

    /** Whether the connection may have carried a call with this id. */
    boolean contains(C connection, String requestId) {
        return hashes(connection).contains(requestId.hashCode());
    }

    /** Whether the connection must not carry another call. */
    boolean isExhausted(C connection) {
        return hashes(connection).size() >= MAX_IDS;
    }

    private Set<Integer> hashes(C connection) {
        return hashesByConnection.getOrDefault(connection, Set.of());
    }

    /** Drops the ids of a closed connection. */
    void remove(C connection) {
        hashesByConnection.remove(connection);
    }
}
