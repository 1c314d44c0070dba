/**
 * The life of a request at the entry and at the sidecar.
 */
package io.bulrushrouter.request;
