/**
 * Domain types shared by all modules: identifiers, priorities, verdicts and error codes.
 */
package io.bulrushrouter.kernel;
