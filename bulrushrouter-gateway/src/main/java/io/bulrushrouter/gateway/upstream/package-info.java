/**
 * Which upstreams there are, how they do, and which one takes a request. Decisions only:
 * no input or output.
 */
package io.bulrushrouter.gateway.upstream;
