/**
 * Settings in INI files, validated against the sections and keys that a daemon supports.
 */
package io.bulrushrouter.kernel.settings;
