package io.bulrushrouter.ranks;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;

/**
 * Divides the ranks of a group into parts, each of which the leader reaches through the
 * first rank of the part. With about as many parts as ranks in a part, the leader and the
 * relays exchange a number of messages that grows with the square root of the group's
 * size. Parts follow data centres, as bytes between them cost more.
 */
final class RelayPlan {

	/** A smaller group is reached directly: relays would save nothing. */
	static final int MIN_RANKS = 16;

	private RelayPlan() {
	}

	/**
	 * Returns the parts. Ranks whose sidecars do not answer are left out.
	 * @param ranks the connections to the ranks
	 * @param rotation selects which rank of each part is first, so that another one
	 * relays if one fails
	 * @return the parts, none of which is empty
	 */
	static List<List<RankConnection>> parts(Collection<RankConnection> ranks, int rotation) {
		List<RankConnection> sorted = ranks.stream()
			.filter((rank) -> !rank.usesDirectAccess())
			.sorted(Comparator.comparing(RankConnection::dataCentre)
				.thenComparing((rank) -> rank.instance().getHostAddress()))
			.toList();
		int partSize = (sorted.size() < MIN_RANKS) ? 1 : (int) Math.ceil(Math.sqrt(sorted.size()));
		List<List<RankConnection>> parts = new ArrayList<>();
		for (int start = 0; start < sorted.size(); start += partSize) {
			List<RankConnection> part = sorted.subList(start, Math.min(sorted.size(), start + partSize));
			int first = Math.floorMod(rotation, part.size());
			List<RankConnection> rotated = new ArrayList<>(part.subList(first, part.size()));
			rotated.addAll(part.subList(0, first));
			parts.add(rotated);
		}
		return parts;
	}

}
