package org.damaskmoor.core.configuration.internal;

import java.util.Map;

/**
 * Hash map with lookup by the first characters of a string, without allocating a substring.
 *
 * <p>Invariant: at most half of the slots are used. Immutable and thread-safe.
 *
 * @param <V> the value
 */
final class SubstringMap<V> {
    private final String[] keys;
    private final Object[] values;
    private final boolean ignoreCase;

    SubstringMap(Map<String, V> entries, boolean ignoreCase) {
        int size = Math.max(2, Integer.highestOneBit(entries.size() * 2 + 1) * 2);
        this.keys = new String[size];
        this.values = new Object[size];
        this.ignoreCase = ignoreCase;
        entries.forEach(this::put);
    }

    private void put(String key, V value) {
        int slot = slotOf(hash(key, key.length()));
        while (keys[slot] != null) {
            slot = (slot + 1) & (keys.length - 1);
        }
        keys[slot] = key;
        values[slot] = value;
    }

    private int hash(String text, int end) {
        int hash = 0;
        for (int i = 0; i < end; i++) {
            hash = extendHash(hash, text.charAt(i));
        }
        return hash;
    }

    /** Returns the hash of a text extended by one character. */
    int extendHash(int hash, char character) {
        char folded =
                ignoreCase && character >= 'A' && character <= 'Z'
                        ? (char) (character + 32)
                        : character;
        return hash * 31 + folded;
    }

    private int slotOf(int hash) {
        return (hash ^ (hash >>> 16)) & (keys.length - 1);
    }

    /** Returns the value for the first {@code end} characters; null if there is none. */
    V find(String text, int end) {
        return find(text, end, hash(text, end));
    }

    /** Like {@link #find(String, int)}, with the hash of those characters. */
    @SuppressWarnings("unchecked")
    V find(String text, int end, int hash) {
        int slot = slotOf(hash);
        while (keys[slot] != null) {
            String key = keys[slot];
            if (key.length() == end && text.regionMatches(ignoreCase, 0, key, 0, end)) {
                return (V) values[slot];
            }
            slot = (slot + 1) & (keys.length - 1);
        }
        return null;
    }
}
