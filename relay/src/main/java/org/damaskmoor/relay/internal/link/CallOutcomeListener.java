package org.damaskmoor.relay.internal.link;

import org.damaskmoor.schema.link.CallSealed;
import org.damaskmoor.schema.link.ForwardedAnswer;
import org.damaskmoor.schema.link.ForwardedFailure;
import org.damaskmoor.schema.link.ForwardedRefusal;
import org.damaskmoor.schema.link.TargetLoad;

/** What a target tells an entry. Confined to the event loop. */
public interface CallOutcomeListener {
    /** A call was answered. */
    void onAnswered(ForwardedAnswer answer);

    /** A call did not run and never will. */
    void onRefused(ForwardedRefusal refusal);

    /** A call was handed over and got no whole answer. */
    void onFailed(ForwardedFailure failure);

    /** A lost call was found. */
    void onSealed(CallSealed sealed);

    /** The load of this instant. */
    void onLoad(TargetLoad load);
}
