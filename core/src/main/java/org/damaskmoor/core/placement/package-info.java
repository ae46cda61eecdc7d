/**
 * Choice of the target for a call at its entry node, when load changes as fast as load reports
 * arrive.
 *
 * <p>Start at {@link org.damaskmoor.core.placement.TargetChooser}.
 */
package org.damaskmoor.core.placement;
