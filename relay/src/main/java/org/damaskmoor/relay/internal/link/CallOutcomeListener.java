package org.damaskmoor.relay.internal.link;

import org.damaskmoor.schema.link.CallSealed;
import org.damaskmoor.schema.link.ForwardedAnswer;
import org.damaskmoor.schema.link.ForwardedFailure;
import org.damaskmoor.schema.link.ForwardedRefusal;
import org.damaskmoor.schema.link.TargetLoad;

/** Receives what a target reports to an entry. Confined to the event loop. */
public interface CallOutcomeListener {
    /** A call was answered. */
    void onAnswered(ForwardedAnswer answer);

    /** A call was not run and never will be. */
    void onRefused(ForwardedRefusal refusal);

    /** A call was handed over to the upstream and got no complete answer. */
    void onFailed(ForwardedFailure failure);

    /** The target answered a request to seal a call. */
    void onSealed(CallSealed sealed);

    /** The target reported its current load. */
    void onLoad(TargetLoad load);
}
