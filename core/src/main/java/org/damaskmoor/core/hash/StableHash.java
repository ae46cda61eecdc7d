package org.damaskmoor.core.hash;

/**
 * A 64-bit hash that is the same in every process and version, for keys on which nodes must agree.
 *
 * <p>FNV-1a over the bytes, followed by the finaliser of MurmurHash3 so that similar keys differ in
 * all bits. It is not a cryptographic hash. Stateless and thread-safe.
 */
public final class StableHash {
    private static final long OFFSET_BASIS = 0xcbf29ce484222325L;
    private static final long PRIME = 0x100000001b3L;
    private static final int FIELD_SEPARATOR = 0xff;

    private StableHash() {}

    /** Returns the hash of a text, computed over its UTF-16 code units. */
    public static long of(String text) {
        return mix(append(OFFSET_BASIS, text));
    }

    /**
     * Returns the hash of a text and a body, separated so that moving bytes between them changes
     * it.
     */
    public static long of(String text, byte[] body) {
        long hash = append(OFFSET_BASIS, text);
        hash = (hash ^ FIELD_SEPARATOR) * PRIME;
        for (byte value : body) {
            hash = (hash ^ (value & 0xff)) * PRIME;
        }
        return mix(hash ^ body.length);
    }

    /** Combines two hashes into one; their order matters. */
    public static long combine(long first, long second) {
        return mix(first * PRIME ^ second);
    }

    private static long append(long start, String text) {
        long hash = start;
        for (int i = 0; i < text.length(); i++) {
            char unit = text.charAt(i);
            hash = (hash ^ (unit & 0xff)) * PRIME;
            hash = (hash ^ (unit >>> 8)) * PRIME;
        }
        return hash;
    }

    private static long mix(long value) {
        long mixed = value;
        mixed = (mixed ^ (mixed >>> 33)) * 0xff51afd7ed558ccdL;
        mixed = (mixed ^ (mixed >>> 33)) * 0xc4ceb9fe1a85ec53L;
        return mixed ^ (mixed >>> 33);
    }
}
