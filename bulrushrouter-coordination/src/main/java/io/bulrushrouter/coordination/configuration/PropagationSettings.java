package io.bulrushrouter.coordination.configuration;

import java.time.Duration;

/**
 * The sizes, intervals and timeouts of the propagation of configurations.
 *
 * @param relays the number of nodes of a data centre that watch the platform
 * @param fanOut the number of children that a node notifies of a new version
 * @param digestInterval the interval at which a ready node sends its digest to a random
 * peer
 * @param joinInterval the interval at which a node that is not ready queries its peers
 * @param requestTimeout the time after which a requested document that did not arrive may
 * be requested again
 * @param sendWindow the time within which a node sends a scope's document at most twice
 * as many times as the fan-out; a peer whose request is dropped asks another peer
 * @param statusInterval the interval at which a node sends its status to the relays
 * @param platformTimeout how long a starting node waits for the platform before it relies
 * on the digests of its peers
 * @param minReadyPeers the number of ready peers whose digests a node needs to become
 * ready without the platform; at most half of its known peers, rounded up
 */
public record PropagationSettings(int relays, int fanOut, Duration digestInterval, Duration joinInterval,
		Duration requestTimeout, Duration sendWindow, Duration statusInterval, Duration platformTimeout,
		int minReadyPeers) {

	/** The settings that daemons use. */
	public static final PropagationSettings DEFAULT = new PropagationSettings(2, 2, Duration.ofSeconds(1),
			Duration.ofSeconds(1), Duration.ofMillis(500), Duration.ofSeconds(10), Duration.ofSeconds(30),
			Duration.ofSeconds(3), 3);

	/**
	 * Validates the components.
	 */
	public PropagationSettings {
		if (relays < 1 || fanOut < 1 || minReadyPeers < 1) {
			throw new IllegalArgumentException("relays, fanOut and minReadyPeers must each be at least 1");
		}
	}

	int maxSendsPerWindow() {
		return 2 * this.fanOut;
	}

	int requiredReadyPeers(int peers) {
		return Math.min(this.minReadyPeers, Math.max(1, (peers + 1) / 2));
	}

}
