/**
 * Infrastructure shared by all daemons: logs, metrics, the operators' endpoint and the
 * platform client.
 */
package io.bulrushrouter.daemon.node;
