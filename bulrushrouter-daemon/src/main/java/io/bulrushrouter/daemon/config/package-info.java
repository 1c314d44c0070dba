/**
 * The configuration that operators accept: organisations, upstreams and operators.
 */
package io.bulrushrouter.daemon.config;
