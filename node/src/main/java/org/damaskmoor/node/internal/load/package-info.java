/** What a node spends on knowing the load of others, and how it is counted and bounded. */
package org.damaskmoor.node.internal.load;
