/**
 * The process beside each rank of a group: it reads its rank's counts and passes orders
 * on; beside rank 0 it also balances the group.
 */
package io.bulrushrouter.ranks;
