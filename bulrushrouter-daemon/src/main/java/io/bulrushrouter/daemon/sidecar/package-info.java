/**
 * The sidecar process: the last word on what its upstream runs.
 */
package io.bulrushrouter.daemon.sidecar;
