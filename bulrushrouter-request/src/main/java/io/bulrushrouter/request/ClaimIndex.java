package io.bulrushrouter.request;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.TreeMap;

import io.bulrushrouter.kernel.store.Versioned;
import io.bulrushrouter.kernel.store.Write;

/**
 * What a process knows of one shard: the segment that is written to, the full segments
 * before it, and the newest record of each key in them.
 */
final class ClaimIndex {

	private final int archiveCount;

	private final TreeMap<Long, ClaimSegment> fullSegments = new TreeMap<>();

	private final Map<KeyHash, ClaimRecord> newestRecords = new HashMap<>();

	private ClaimSegment head = ClaimSegment.EMPTY;

	private long headVersion = Write.ABSENT;

	ClaimIndex(int archives) {
		this.archiveCount = archives;
	}

	ClaimSegment head() {
		return this.head;
	}

	long headVersion() {
		return this.headVersion;
	}

	Optional<ClaimRecord> find(KeyHash key) {
		return Optional.ofNullable(this.newestRecords.get(key));
	}

	// Takes the segment as this process wrote it: if it is a new one, the old one was
	// archived as it is known here.
	void applyWritten(ClaimSegment segment, long version) {
		if (segment.sequence() > this.head.sequence()) {
			this.fullSegments.put(this.head.sequence(), this.head);
			evictBefore(segment.sequence() - this.archiveCount);
		}
		setHead(segment, version);
	}

	// Takes the segment as it was read: what came before it may be unknown here.
	void applyRead(Versioned object) {
		setHead(ClaimSegment.ofBytes(object.value()), object.version());
	}

	private void setHead(ClaimSegment segment, long version) {
		this.head = segment;
		this.headVersion = version;
		segment.records().forEach((record) -> this.newestRecords.put(record.key(), record));
	}

	void addFullSegment(ClaimSegment segment) {
		this.fullSegments.put(segment.sequence(), segment);
	}

	// Builds the newest records anew from all segments.
	void rebuild() {
		this.newestRecords.clear();
		this.fullSegments.headMap(this.head.sequence() - this.archiveCount).clear();
		this.fullSegments.values()
			.forEach((segment) -> segment.records().forEach((record) -> this.newestRecords.put(record.key(), record)));
		this.head.records().forEach((record) -> this.newestRecords.put(record.key(), record));
	}

	/**
	 * Returns the newest full segment that is not known yet, as far back as claims have
	 * to be kept.
	 * @param oldestEpochSeconds when the oldest claim was made that has to be kept
	 * @return its number, or empty if all are known
	 */
	OptionalLong findMissingSegment(long oldestEpochSeconds) {
		long first = Math.max(0, this.head.sequence() - this.archiveCount);
		for (long i = this.head.sequence() - 1; i >= first; i--) {
			ClaimSegment segment = this.fullSegments.get(i);
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
	void evictOlderThan(long oldestEpochSeconds) {
		this.fullSegments.descendingMap()
			.values()
			.stream()
			.filter((segment) -> segment.newestEpochSeconds() < oldestEpochSeconds)
			.findFirst()
			.ifPresent((segment) -> evictBefore(segment.sequence()));
	}

	/**
	 * Returns when the youngest claim was made that the next full segment pushes out.
	 * @return seconds since 1970; 0 if none is pushed out
	 */
	long nextEvictedEpochSeconds() {
		ClaimSegment oldest = this.fullSegments.get(this.head.sequence() - this.archiveCount);
		return (oldest != null) ? oldest.newestEpochSeconds() : 0;
	}

	private void evictBefore(long sequence) {
		Map<Long, ClaimSegment> evicted = this.fullSegments.headMap(sequence);
		evicted.values()
			.forEach((segment) -> segment.records()
				.forEach((record) -> this.newestRecords.remove(record.key(), record)));
		evicted.clear();
	}

}
