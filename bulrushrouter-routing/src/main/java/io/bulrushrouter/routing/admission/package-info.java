/**
 * Admission of streams to groups of model engines: the interval between events of running
 * streams limits how many are in flight, and priority classes order those that wait. Pure
 * decision logic: time is passed in.
 */
package io.bulrushrouter.routing.admission;
