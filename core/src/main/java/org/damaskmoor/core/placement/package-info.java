/**
 * Where an entry node sends a call, when reports of load are as old as the load is short.
 *
 * <p>Start at {@link org.damaskmoor.core.placement.TargetChooser}.
 */
package org.damaskmoor.core.placement;
