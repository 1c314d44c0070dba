/**
 * What all daemons share: logs, metrics, the operators' port and the platform.
 */
package io.bulrushrouter.daemon.node;
