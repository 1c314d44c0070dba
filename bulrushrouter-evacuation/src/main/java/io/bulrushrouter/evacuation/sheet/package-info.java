/**
 * The morning sheet: parsing it with every error, and applying it to the intended state.
 */
package io.bulrushrouter.evacuation.sheet;
