/**
 * Propagates accepted configurations from the platform to every node. No node reverts to
 * an older version.
 */
package io.bulrushrouter.coordination.configuration;
