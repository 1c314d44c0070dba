/**
 * The object API client, leases, configuration spread and orders to engines.
 */
package io.bulrushrouter.coordination;
