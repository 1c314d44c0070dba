/**
 * The administration API, shared by many teams.
 */
package io.bulrushrouter.daemon.admin;
