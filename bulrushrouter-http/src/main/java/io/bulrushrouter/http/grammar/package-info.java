/**
 * The grammar of HTTP/1.1 messages, checked on the bytes of a connection before the
 * library decodes them.
 */
package io.bulrushrouter.http.grammar;
