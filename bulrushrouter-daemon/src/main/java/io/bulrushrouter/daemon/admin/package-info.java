/**
 * The HTTP administration API for configurations, evacuation plans and morning sheets,
 * used by many teams at once.
 */
package io.bulrushrouter.daemon.admin;
