package io.bulrushrouter.experts.live;

/**
 * A change of the replicas of one expert, and of a second one that gives up its place for
 * it. Ranks are {@link #NONE} where a part of the change is absent.
 *
 * @param expert the first expert
 * @param addedTo the rank that receives a replica of it
 * @param removedFrom the rank that loses a replica of it
 * @param other the second expert, or {@link #NONE}
 * @param otherAddedTo the rank that receives a replica of the second expert
 * @param otherRemovedFrom the rank that loses a replica of the second expert
 */
record ReplicaChange(int expert, int addedTo, int removedFrom, int other, int otherAddedTo, int otherRemovedFrom) {

	static final int NONE = -1;

	static ReplicaChange ofAddition(int expert, int to) {
		return new ReplicaChange(expert, to, NONE, NONE, NONE, NONE);
	}

	static ReplicaChange ofRemoval(int expert, int from) {
		return new ReplicaChange(expert, NONE, from, NONE, NONE, NONE);
	}

	static ReplicaChange ofMove(int expert, int to, int from) {
		return new ReplicaChange(expert, to, from, NONE, NONE, NONE);
	}

	/**
	 * Creates a change in which an expert takes the place of a replica of another one,
	 * which has more replicas.
	 * @param expert the expert
	 * @param to the rank that receives it
	 * @param from the rank that loses it, or {@link #NONE}
	 * @param evicted the expert whose replica is removed
	 * @return the change
	 */
	static ReplicaChange ofEviction(int expert, int to, int from, int evicted) {
		return new ReplicaChange(expert, to, from, evicted, NONE, to);
	}

	static ReplicaChange ofExchange(int expert, int to, int from, int other) {
		return new ReplicaChange(expert, to, from, other, from, to);
	}

}
