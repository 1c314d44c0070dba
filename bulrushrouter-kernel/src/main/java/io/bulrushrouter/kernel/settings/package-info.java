/**
 * Settings in INI files, checked whole against the keys that a daemon knows.
 */
package io.bulrushrouter.kernel.settings;
