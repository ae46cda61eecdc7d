package org.damaskmoor.core.atmostonce.internal;

import com.google.protobuf.ByteString;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Optional;
import java.util.Set;

/**
 * Keeps the newest answers up to a number of bytes.
 *
 * <p>Invariant: the answers that entries hold never exceed the bound together. Not thread-safe.
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
            LedgerEntry forgotten = oldest.next();
            oldest.remove();
            clear(forgotten);
        }
    }

    /** Forgets the answer of an entry that leaves the ledger. */
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
