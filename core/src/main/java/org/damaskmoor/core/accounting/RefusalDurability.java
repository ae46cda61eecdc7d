package org.damaskmoor.core.accounting;

/** What is known of a refusal's count at the moment that the refusal may be answered. */
public enum RefusalDurability {
    /** A peer in another data centre holds it too. */
    STORED,
    /**
     * No peer stored it in time; this is recorded as a gap, and the owner still flushes the count.
     */
    GAP
}
