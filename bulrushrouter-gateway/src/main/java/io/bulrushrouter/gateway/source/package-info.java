/**
 * Sources of the configuration and the list of upstreams: the interfaces that adapters
 * implement, and the client that keeps an entry up to date with them.
 */
package io.bulrushrouter.gateway.source;
