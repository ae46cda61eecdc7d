package org.damaskmoor.relay.internal.link;

import java.util.Optional;
import org.damaskmoor.schema.link.CallCancel;
import org.damaskmoor.schema.link.CallSeal;
import org.damaskmoor.schema.link.FleetNews;
import org.damaskmoor.schema.link.FleetRequest;
import org.damaskmoor.schema.link.ForwardedCall;
import org.damaskmoor.schema.link.LinkHello;
import org.damaskmoor.schema.link.QuotaGrant;
import org.damaskmoor.schema.link.QuotaReport;
import org.damaskmoor.schema.link.ReaderSign;

/** Handles what other nodes send to this one over links. Confined to the event loop. */
public interface IncomingLinkHandler {
    /** An entry opened a link; returns the hello of this node. */
    LinkHello createHello(EntryId entry, CallOutcomeListener outcomeListener);

    /** An entry sent a call. */
    void onCall(EntryId entry, ForwardedCall call, CallOutcomeListener outcomeListener);

    /** An entry seals a call that it had sent over a lost link. */
    void onSeal(EntryId entry, CallSeal seal, CallOutcomeListener outcomeListener);

    /** An entry no longer waits for a call. */
    void onCancel(EntryId entry, CallCancel cancel);

    /** A link was closed. */
    void onLinkClosed(EntryId entry, CallOutcomeListener outcomeListener);

    /** Creates the answer to a peer that requests what this node knows of the fleet. */
    FleetNews createFleetNews(FleetRequest request);

    /** A peer sent what it knows of the fleet. */
    void onFleetNews(FleetNews update);

    /** An entry reported its usage of quotas; returns the acknowledgement. */
    Optional<QuotaGrant> onQuotaReport(EntryId entry, QuotaReport report);

    /** A coordinator sent shares of quotas, or a probe; returns the answer to a probe. */
    Optional<QuotaReport> onQuotaGrant(EntryId coordinator, QuotaGrant grant);

    /** The store reader of a data centre sent its heartbeat. */
    void onReaderSign(ReaderSign sign);
}
