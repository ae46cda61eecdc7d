package org.damaskmoor.core.configuration.internal;

import java.util.Map;

/**
 * Finds a value by a part of a string without making that part.
 *
 * <p>Invariant: at most half of the places are taken. Immutable and thread-safe.
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
        int place = placeOf(hash(key, key.length()));
        while (keys[place] != null) {
            place = (place + 1) & (keys.length - 1);
        }
        keys[place] = key;
        values[place] = value;
    }

    private int hash(String text, int end) {
        int hash = 0;
        for (int i = 0; i < end; i++) {
            hash = extendHash(hash, text.charAt(i));
        }
        return hash;
    }

    /** The hash of a text that is longer by one character. */
    int extendHash(int hash, char character) {
        char folded =
                ignoreCase && character >= 'A' && character <= 'Z'
                        ? (char) (character + 32)
                        : character;
        return hash * 31 + folded;
    }

    private int placeOf(int hash) {
        return (hash ^ (hash >>> 16)) & (keys.length - 1);
    }

    /** The value for the first {@code end} characters; null when there is none. */
    V find(String text, int end) {
        return find(text, end, hash(text, end));
    }

    /** As above, with the hash of those characters. */
    @SuppressWarnings("unchecked")
    V find(String text, int end, int hash) {
        int place = placeOf(hash);
        while (keys[place] != null) {
            String key = keys[place];
            if (key.length() == end && text.regionMatches(ignoreCase, 0, key, 0, end)) {
                return (V) values[place];
            }
            place = (place + 1) & (keys.length - 1);
        }
        return null;
    }
}
