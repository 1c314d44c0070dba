package io.bulrushrouter.experts.switchover;

import java.util.BitSet;
import java.util.Optional;

import com.dynatrace.hash4j.hashing.HashStream64;
import com.dynatrace.hash4j.hashing.Hashing;

/**
 * A state of a {@link GroupModel}. Engines, sidecars, balancers and messages are given by
 * their ids in an {@link Interner}.
 */
final class GroupState {

	int[] engines;

	int[] sidecars;

	int[] seenFence;

	int[] balancers;

	/** Incarnation, map version, and fencing token and number of the writing attempt. */
	int[] store;

	int restarts;

	int crashes;

	/** Whether a rank has crashed and the group has not yet been reformed. */
	boolean broken;

	BitSet sentMessages;

	Optional<String> violation = Optional.empty();

	GroupState parent;

	String lastEvent = "start";

	GroupState copy(String newEvent) {
		GroupState copy = new GroupState();
		copy.engines = this.engines.clone();
		copy.sidecars = this.sidecars.clone();
		copy.seenFence = this.seenFence.clone();
		copy.balancers = this.balancers.clone();
		copy.store = this.store;
		copy.restarts = this.restarts;
		copy.crashes = this.crashes;
		copy.broken = this.broken;
		copy.sentMessages = (BitSet) this.sentMessages.clone();
		copy.parent = this;
		copy.lastEvent = newEvent;
		return copy;
	}

	long fingerprint() {
		HashStream64 hash = Hashing.komihash5_0().hashStream();
		putLocal(hash);
		hash.putIntArray(this.seenFence);
		hash.putInt(this.restarts).putInt(this.crashes);
		hash.putInt(this.store[2]).putInt(this.store[3]);
		return hash.putLongArray(this.sentMessages.toLongArray()).getAsLong();
	}

	/** Returns a fingerprint of the parts that a healed run depends on. */
	long localFingerprint() {
		HashStream64 hash = Hashing.komihash5_0().hashStream();
		putLocal(hash);
		return hash.getAsLong();
	}

	private void putLocal(HashStream64 hash) {
		hash.putIntArray(this.engines).putIntArray(this.sidecars).putIntArray(this.balancers);
		hash.putInt(this.store[0]).putInt(this.store[1]).putBoolean(this.broken);
	}

}
