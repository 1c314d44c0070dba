/**
 * Expert maps of rank groups, tracking of expert popularity, and detection of straggling
 * ranks.
 */
package io.bulrushrouter.experts;
