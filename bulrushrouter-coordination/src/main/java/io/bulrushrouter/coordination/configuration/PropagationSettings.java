package io.bulrushrouter.coordination.configuration;

import java.time.Duration;

/**
 * The sizes and times of the spread.
 *
 * @param relays how many nodes of a data centre watch the platform
 * @param fanOut how many nodes a node tells of a new version
 * @param digestInterval the time between two comparisons with a random peer
 * @param joinInterval the time between two rounds of questions while a node is not ready
 * @param requestTimeout when a document that was asked for and did not come may be asked
 * for again
 * @param sendWindow the time within which a node sends a scope's document at most twice
 * as often as it has children; who is left out asks another peer
 * @param statusInterval the time after which a node repeats its status to the relays
 * @param platformTimeout how long a node that starts waits for the platform's word before
 * that of peers counts
 * @param minReadyPeers how many ready peers a node hears before it serves without the
 * platform's word; fewer where it knows of fewer than twice as many
 */
public record PropagationSettings(int relays, int fanOut, Duration digestInterval, Duration joinInterval,
		Duration requestTimeout, Duration sendWindow, Duration statusInterval, Duration platformTimeout,
		int minReadyPeers) {

	/** The terms that daemons use. */
	public static final PropagationSettings DEFAULT = new PropagationSettings(2, 2, Duration.ofSeconds(1),
			Duration.ofSeconds(1), Duration.ofMillis(500), Duration.ofSeconds(10), Duration.ofSeconds(30),
			Duration.ofSeconds(3), 3);

	/**
	 * Checks the parts.
	 */
	public PropagationSettings {
		if (relays < 1 || fanOut < 1 || minReadyPeers < 1) {
			throw new IllegalArgumentException("relays, fan-out and sponsors must be at least 1");
		}
	}

	int maxSendsPerWindow() {
		return 2 * this.fanOut;
	}

	int requiredReadyPeers(int peers) {
		return Math.min(this.minReadyPeers, Math.max(1, (peers + 1) / 2));
	}

}
