/** What is measured of load, and what may be spent on measuring it. */
package org.damaskmoor.core.load;
