/**
 * The HTTP server and client used between callers, upstreams, the platform and operators.
 */
package io.bulrushrouter.http;
