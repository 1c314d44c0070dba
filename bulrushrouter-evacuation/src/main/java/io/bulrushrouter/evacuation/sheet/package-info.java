/**
 * The morning sheet, a daily CSV file: parsing it with all errors reported, and applying
 * it to the intended state.
 */
package io.bulrushrouter.evacuation.sheet;
