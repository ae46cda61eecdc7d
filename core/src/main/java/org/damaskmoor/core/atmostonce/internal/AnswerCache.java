package org.damaskmoor.core.atmostonce.internal;

import com.google.protobuf.ByteString;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Optional;
import java.util.Set;

/**
 * Caches answers of ledger entries up to a total number of bytes, evicting the oldest first.
 *
 * <p>Invariant: the total size of the cached answers never exceeds the bound. Not thread-safe.
 */
final class AnswerCache {
    private final long maximumBytes;
    private final Set<LedgerEntry> oldestFirst = new LinkedHashSet<>();
    private long bytes;

    AnswerCache(long maximumBytes) {
        this.maximumBytes = maximumBytes;
    }

    void put(LedgerEntry entry, ByteString answer) {
        if (answer.size() > maximumBytes) {
            return;
        }
        entry.answer = Optional.of(answer);
        oldestFirst.add(entry);
        bytes += answer.size();
        Iterator<LedgerEntry> oldest = oldestFirst.iterator();
        while (bytes > maximumBytes) {
            LedgerEntry evicted = oldest.next();
            oldest.remove();
            clear(evicted);
        }
    }

    /** Removes the answer of an entry that is removed from the ledger. */
    void remove(LedgerEntry entry) {
        if (oldestFirst.remove(entry)) {
            clear(entry);
        }
    }

    private void clear(LedgerEntry entry) {
        bytes -= entry.answer.orElse(ByteString.EMPTY).size();
        entry.answer = Optional.empty();
    }
}
