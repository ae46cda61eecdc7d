package org.damaskmoor.core.accounting;

/** How durable a refusal's count is when the refusal may be answered. */
public enum RefusalDurability {
    /** A peer in another data centre holds a copy of the count. */
    STORED,
    /**
     * No peer stored the count in time; a gap is recorded, and the owner still flushes the count.
     */
    GAP
}
