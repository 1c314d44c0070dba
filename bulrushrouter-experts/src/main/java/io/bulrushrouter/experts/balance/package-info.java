/**
 * Balancing of one rank group by the lease holder: turns popularity reports and step
 * times into placement plans and map switches.
 */
package io.bulrushrouter.experts.balance;
