/**
 * Where the configuration and the list of upstreams come from: the seams that adapters
 * implement, and how an entry follows them.
 */
package io.bulrushrouter.gateway.source;
