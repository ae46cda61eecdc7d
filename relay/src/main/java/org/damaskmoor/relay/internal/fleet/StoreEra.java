package org.damaskmoor.relay.internal.fleet;

import org.damaskmoor.relay.internal.log.EventLog;

/**
 * Detects that the store has returned from an older copy: what was written since the copy is gone,
 * and the versions of the lost changes are assigned again. A version, or the knowledge that a row
 * was written, therefore holds within one era only.
 *
 * <p>Confined to the event loop. Invariant: the era never decreases.
 */
public final class StoreEra {
    private final EventLog log;
    private final Runnable onRestored;
    private long current;

    /**
     * Creates an instance that knows no era.
     *
     * @param onRestored runs when an era follows another one
     */
    public StoreEra(EventLog log, Runnable onRestored) {
        this.log = log;
        this.onRestored = onRestored;
    }

    /** The store, or a node that it answers, told its era; 0 if it tells none. */
    public void onEra(long era) {
        if (era <= current) {
            return;
        }
        long former = current;
        current = era;
        if (former > 0) {
            log.event("store-restored").with("era", era).with("former", former).write();
            onRestored.run();
        }
    }

    /** The newest era; 0 if none is known. */
    public long current() {
        return current;
    }
}
