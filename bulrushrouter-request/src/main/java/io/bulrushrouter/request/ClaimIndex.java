package io.bulrushrouter.request;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.TreeMap;

import io.bulrushrouter.kernel.store.VersionedObject;
import io.bulrushrouter.kernel.store.Write;

/**
 * What a process knows of one shard: the segment that is written to, the full segments
 * before it, and the newest record of each key in them.
 */
final class ClaimIndex {

	private final int archives;

	private final TreeMap<Long, ClaimSegment> full = new TreeMap<>();

	private final Map<KeyHash, ClaimRecord> newest = new HashMap<>();

	private ClaimSegment head = ClaimSegment.EMPTY;

	private long headVersion = Write.ABSENT;

	ClaimIndex(int archives) {
		this.archives = archives;
	}

	ClaimSegment head() {
		return this.head;
	}

	long headVersion() {
		return this.headVersion;
	}

	Optional<ClaimRecord> find(KeyHash key) {
		return Optional.ofNullable(this.newest.get(key));
	}

	// Takes the segment as this process wrote it: if it is a new one, the old one was
	// archived as it is known here.
	void written(ClaimSegment segment, long version) {
		if (segment.sequence() > this.head.sequence()) {
			this.full.put(this.head.sequence(), this.head);
			forgetBefore(segment.sequence() - this.archives);
		}
		take(segment, version);
	}

	// Takes the segment as it was read: what came before it may be unknown here.
	void read(VersionedObject object) {
		take(ClaimSegment.ofBytes(object.value()), object.version());
	}

	private void take(ClaimSegment segment, long version) {
		this.head = segment;
		this.headVersion = version;
		segment.records().forEach((record) -> this.newest.put(record.key(), record));
	}

	void addFull(ClaimSegment segment) {
		this.full.put(segment.sequence(), segment);
	}

	// Builds the newest records anew from all segments.
	void rebuild() {
		this.newest.clear();
		this.full.headMap(this.head.sequence() - this.archives).clear();
		this.full.values()
			.forEach((segment) -> segment.records().forEach((record) -> this.newest.put(record.key(), record)));
		this.head.records().forEach((record) -> this.newest.put(record.key(), record));
	}

	/**
	 * Returns the newest full segment that is not known yet, as far back as claims have
	 * to be kept.
	 * @param oldestEpochSeconds when the oldest claim was made that has to be kept
	 * @return its number, or empty if all are known
	 */
	OptionalLong missing(long oldestEpochSeconds) {
		long first = Math.max(0, this.head.sequence() - this.archives);
		for (long i = this.head.sequence() - 1; i >= first; i--) {
			ClaimSegment segment = this.full.get(i);
			if (segment == null) {
				return OptionalLong.of(i);
			}
			if (segment.newestEpochSeconds() < oldestEpochSeconds) {
				return OptionalLong.empty();
			}
		}
		return OptionalLong.empty();
	}

	/**
	 * Forgets full segments that need not be kept any longer, but for the newest of them,
	 * which shows how far back the known ones reach.
	 * @param oldestEpochSeconds when the oldest claim was made that has to be kept
	 */
	void forgetOlderThan(long oldestEpochSeconds) {
		this.full.descendingMap()
			.values()
			.stream()
			.filter((segment) -> segment.newestEpochSeconds() < oldestEpochSeconds)
			.findFirst()
			.ifPresent((segment) -> forgetBefore(segment.sequence()));
	}

	/**
	 * Returns when the youngest claim was made that the next full segment pushes out.
	 * @return seconds since 1970; 0 if none is pushed out
	 */
	long nextLostEpochSeconds() {
		ClaimSegment oldest = this.full.get(this.head.sequence() - this.archives);
		return (oldest != null) ? oldest.newestEpochSeconds() : 0;
	}

	private void forgetBefore(long sequence) {
		Map<Long, ClaimSegment> old = this.full.headMap(sequence);
		old.values()
			.forEach((segment) -> segment.records().forEach((record) -> this.newest.remove(record.key(), record)));
		old.clear();
	}

}
