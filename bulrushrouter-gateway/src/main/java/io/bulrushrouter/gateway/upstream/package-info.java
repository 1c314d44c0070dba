/**
 * The known upstreams, their health, and the selection of an upstream for a request. Pure
 * decision logic that does no input or output.
 */
package io.bulrushrouter.gateway.upstream;
