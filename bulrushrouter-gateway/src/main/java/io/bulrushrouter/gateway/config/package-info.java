/**
 * The configuration in force: routes, services, organisations and limits, as immutable
 * values.
 */
package io.bulrushrouter.gateway.config;
