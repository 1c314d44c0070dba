/**
 * HTTP to callers, upstreams, the platform and operators.
 */
package io.bulrushrouter.http;
