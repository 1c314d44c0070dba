/**
 * The sidecar process of each rank of a group: it reads the expert counts of its rank and
 * forwards orders to it. The sidecar of rank 0 also balances the group; the sidecars of
 * other ranks recover the group if that one stops.
 */
package io.bulrushrouter.ranks;
