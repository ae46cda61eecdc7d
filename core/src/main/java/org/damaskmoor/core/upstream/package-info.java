/** The announcements, load reports and state of the upstream on this VM. */
package org.damaskmoor.core.upstream;
