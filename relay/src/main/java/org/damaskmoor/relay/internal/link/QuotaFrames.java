package org.damaskmoor.relay.internal.link;

import org.damaskmoor.schema.link.LinkFrame;

/** Tells frames about quotas from others. Thread-safe: pure functions. */
final class QuotaFrames {
    private QuotaFrames() {}

    static boolean isQuotaFrame(LinkFrame frame) {
        return frame.hasQuotaReport() || frame.hasQuotaGrant();
    }
}
