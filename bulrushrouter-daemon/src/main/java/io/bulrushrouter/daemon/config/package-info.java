/**
 * The configuration that operators publish: organisations, upstreams and operators.
 */
package io.bulrushrouter.daemon.config;
