/**
 * Domain types shared by all modules: identifiers, verdicts, error codes and requests.
 */
package io.bulrushrouter.kernel;
