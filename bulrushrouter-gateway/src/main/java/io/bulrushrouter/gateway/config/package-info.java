/**
 * The gateway's configuration as immutable values: routes, services, organisations and
 * limits.
 */
package io.bulrushrouter.gateway.config;
