/** Load measurement: probes, region summaries, and a budget for the traffic that they cause. */
package org.damaskmoor.core.load;
