package io.bulrushrouter.request;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.TreeMap;

import io.bulrushrouter.kernel.store.VersionedObject;
import io.bulrushrouter.kernel.store.Write;

/**
 * A process's view of one shard: the segment that is written to, the full segments before
 * it, and the newest record of each key in them.
 */
final class ClaimIndex {

	private final int archiveCount;

	private final TreeMap<Long, ClaimSegment> fullSegments = new TreeMap<>();

	private final Map<KeyHash, ClaimRecord> newestRecords = new HashMap<>();

	private ClaimSegment head = ClaimSegment.EMPTY;

	private long headVersion = Write.ABSENT;

	ClaimIndex(int archiveCount) {
		this.archiveCount = archiveCount;
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

	// Applies a segment that this process wrote. If it is a new segment, the
	// previous head was archived with the content known here.
	void applyWritten(ClaimSegment segment, long version) {
		if (segment.sequence() > this.head.sequence()) {
			this.fullSegments.put(this.head.sequence(), this.head);
			evictBefore(segment.sequence() - this.archiveCount);
		}
		setHead(segment, version);
	}

	// Applies a segment that was read; earlier segments may be missing from the index.
	void applyRead(VersionedObject object) {
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

	// Rebuilds the newest records from all segments.
	void rebuild() {
		this.newestRecords.clear();
		this.fullSegments.headMap(this.head.sequence() - this.archiveCount).clear();
		this.fullSegments.values()
			.forEach((segment) -> segment.records().forEach((record) -> this.newestRecords.put(record.key(), record)));
		this.head.records().forEach((record) -> this.newestRecords.put(record.key(), record));
	}

	/**
	 * Returns the newest full segment that is not loaded yet and may contain claims
	 * within the retention time.
	 * @param oldestEpochSeconds the start of the retention time, in seconds since 1970
	 * @return the segment's number, or empty if all are loaded
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
	 * Evicts full segments that are older than the retention time, except the newest of
	 * them, which marks how far back the loaded ones reach.
	 * @param oldestEpochSeconds the start of the retention time, in seconds since 1970
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
	 * Returns the time of the youngest claim that is overwritten when the head is
	 * archived.
	 * @return seconds since 1970; 0 if none is overwritten
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
