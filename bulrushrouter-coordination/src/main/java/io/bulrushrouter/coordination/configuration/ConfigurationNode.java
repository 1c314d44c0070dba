package io.bulrushrouter.coordination.configuration;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.random.RandomGenerator;

import io.bulrushrouter.coordination.configuration.ConfigurationMessage.Digest;
import io.bulrushrouter.coordination.configuration.ConfigurationMessage.Document;
import io.bulrushrouter.coordination.configuration.ConfigurationMessage.Request;
import io.bulrushrouter.coordination.configuration.ConfigurationMessage.Status;
import io.bulrushrouter.coordination.configuration.ConfigurationMessage.StatusQuery;
import io.bulrushrouter.coordination.configuration.ConfigurationMessage.StatusReport;
import io.bulrushrouter.kernel.InstanceId;

/**
 * The state machine of one node in the propagation of configurations: decides which
 * configuration is in force and which messages to send. It does no I/O and must be called
 * from one thread.
 *
 * <p>
 * A node adopts a configuration only as a complete document, with a version higher than
 * its own, and after the checker has accepted it. A restarted node has no stored state.
 * It becomes ready only once the platform, or enough ready peers, have reported the
 * highest version they know and the node has that version.
 *
 * <pre>{@code
 * ConfigurationNode node = ConfigurationNode.of(self, Set.of("main"), checker, PropagationSettings.DEFAULT);
 * Effects effects = node.onMessage(from, message, nowNanos, view);
 * }</pre>
 */
public final class ConfigurationNode {

	private final InstanceId self;

	private final Map<String, ScopeReplica> scopes = new TreeMap<>();

	private final ConfigurationChecker checker;

	private final PropagationSettings settings;

	private final Set<InstanceId> readyPeers = new HashSet<>();

	private final StatusRegistry statusRegistry = new StatusRegistry();

	private boolean ready;

	private Optional<Long> startedAtNanos = Optional.empty();

	private Optional<Long> lastDigestNanos = Optional.empty();

	private Optional<Long> lastStatusNanos = Optional.empty();

	private ConfigurationNode(InstanceId self, Set<String> scopes, ConfigurationChecker checker,
			PropagationSettings settings) {
		this.self = self;
		scopes.forEach((scope) -> this.scopes.put(scope, new ScopeReplica(scope)));
		this.checker = checker;
		this.settings = settings;
	}

	/**
	 * Creates a node that has just started.
	 * @param self the node's instance
	 * @param scopes the scopes that it needs
	 * @param checker validates a configuration before it is adopted
	 * @param settings the settings of the propagation
	 * @return the node
	 */
	public static ConfigurationNode of(InstanceId self, Set<String> scopes, ConfigurationChecker checker,
			PropagationSettings settings) {
		return new ConfigurationNode(self, scopes, checker, settings);
	}

	/**
	 * Returns whether the node may serve requests.
	 * @return {@code true} if the node has all configurations and knew of no higher
	 * version; it never changes back to {@code false}
	 */
	public boolean isReady() {
		return this.ready;
	}

	/**
	 * Returns the configuration in force.
	 * @param scope the scope
	 * @return the configuration, or empty if the node has none or is not ready
	 */
	public Optional<Document> inForce(String scope) {
		return this.ready ? Optional.ofNullable(this.scopes.get(scope)).flatMap(ScopeReplica::inForce)
				: Optional.empty();
	}

	/**
	 * Returns the highest version that the node has handled. Only higher versions are new
	 * to the node, and a relay watches for them.
	 * @param scope the scope
	 * @return the highest version that was adopted or refused; {@code 0} if there is none
	 */
	public long highestHandledVersion(String scope) {
		return Optional.ofNullable(this.scopes.get(scope)).map(ScopeReplica::highestHandledVersion).orElse(0L);
	}

	/**
	 * Returns the node's own status.
	 * @return the status
	 */
	public NodeStatus status() {
		List<String> refused = this.scopes.entrySet()
			.stream()
			.filter((entry) -> entry.getValue().isRefused())
			.map(Map.Entry::getKey)
			.toList();
		return new NodeStatus(this.self, this.ready, states(), refused, 0);
	}

	/**
	 * Returns the statuses received from the nodes of the data centre, including that of
	 * this node.
	 * @param nowNanos the current time, in nanoseconds
	 * @return the statuses, ordered by instance; complete only at a relay
	 */
	public List<NodeStatus> statuses(long nowNanos) {
		this.statusRegistry.put(status(), nowNanos);
		return this.statusRegistry.statuses(nowNanos);
	}

	/**
	 * Handles the platform's response to a read or watch of a scope, from the watch of a
	 * relay or the initial read of a joining node.
	 * @param scope the scope
	 * @param document the stored configuration, or empty if there is none
	 * @param nowNanos the current time, in nanoseconds
	 * @param view the node's peers
	 * @return the messages to send and the decisions to log
	 */
	public Effects onStored(String scope, Optional<Document> document, long nowNanos, PeerView view) {
		Effects.Collector effects = new Effects.Collector();
		Optional.ofNullable(this.scopes.get(scope)).ifPresent((track) -> {
			document.ifPresent((stored) -> evaluate(track, stored, nowNanos, view, effects));
			track.confirm();
			becomeReady(nowNanos, view, effects);
		});
		return effects.effects();
	}

	/**
	 * Handles a message from another node.
	 * @param from the sender
	 * @param message the message
	 * @param nowNanos the current time, in nanoseconds
	 * @param view the node's peers
	 * @return the messages to send and the decisions to log
	 */
	public Effects onMessage(InstanceId from, ConfigurationMessage message, long nowNanos, PeerView view) {
		Effects.Collector effects = new Effects.Collector();
		if (message instanceof Digest digest) {
			handleDigest(from, digest, nowNanos, effects);
		}
		else if (message instanceof Request request) {
			Optional.ofNullable(this.scopes.get(request.scope()))
				.flatMap((track) -> track.documentToSend(request.above(), this.settings.maxSendsPerWindow(),
						this.settings.sendWindow(), nowNanos))
				.ifPresent((document) -> effects.send(from, document));
		}
		else if (message instanceof Document document) {
			Optional.ofNullable(this.scopes.get(document.scope()))
				.ifPresent((track) -> evaluate(track, document, nowNanos, view, effects));
		}
		else if (message instanceof Status status) {
			this.statusRegistry.put(status.status(), nowNanos);
		}
		else if (message instanceof StatusQuery) {
			effects.send(from, new StatusReport(statuses(nowNanos)));
		}
		becomeReady(nowNanos, view, effects);
		return effects.effects();
	}

	/**
	 * Sends the messages that are due. Call it several times per second.
	 * @param nowNanos the current time, in nanoseconds
	 * @param view the node's peers
	 * @param random the source of randomness for choosing peers
	 * @return the messages to send and the decisions to log
	 */
	public Effects onTick(long nowNanos, PeerView view, RandomGenerator random) {
		Effects.Collector effects = new Effects.Collector();
		this.startedAtNanos = this.startedAtNanos.or(() -> Optional.of(nowNanos));
		this.scopes.forEach((scope, track) -> requestIfDue(scope, track, nowNanos, effects));
		if (isDue(this.lastDigestNanos,
				(this.ready ? this.settings.digestInterval() : this.settings.joinInterval()).toNanos(), nowNanos)) {
			this.lastDigestNanos = Optional.of(nowNanos);
			digestTargets(view, random).forEach((peer) -> effects.send(peer, digest(true)));
		}
		if (isDue(this.lastStatusNanos, this.settings.statusInterval().toNanos(), nowNanos)) {
			sendStatus(nowNanos, view, effects);
		}
		becomeReady(nowNanos, view, effects);
		return effects.effects();
	}

	private List<InstanceId> digestTargets(PeerView view, RandomGenerator random) {
		return this.ready ? view.randomPeer(random).stream().toList()
				: view.joinPeers(this.settings.minReadyPeers() + view.relays().size(), random);
	}

	private static boolean isDue(Optional<Long> lastNanos, long intervalNanos, long nowNanos) {
		return lastNanos.filter((at) -> nowNanos - at < intervalNanos).isEmpty();
	}

	private void handleDigest(InstanceId from, Digest digest, long nowNanos, Effects.Collector effects) {
		if (digest.ready()) {
			this.readyPeers.add(from);
		}
		boolean senderOutdated = !digest.ready();
		for (ScopeState peerState : digest.scopes()) {
			ScopeReplica replica = this.scopes.get(peerState.scope());
			if (replica != null) {
				replica.updateFrom(peerState, from);
				senderOutdated |= replica.version() > peerState.inForce();
				requestIfDue(peerState.scope(), replica, nowNanos, effects);
			}
		}
		if (digest.replyWanted() && senderOutdated) {
			effects.send(from, digest(false));
		}
	}

	private void requestIfDue(String scope, ScopeReplica replica, long nowNanos, Effects.Collector effects) {
		replica.nextRequestTarget(this.settings.requestTimeout(), nowNanos)
			.ifPresent((peer) -> effects.send(peer, new Request(scope, replica.version())));
	}

	private void evaluate(ScopeReplica replica, Document document, long nowNanos, PeerView view,
			Effects.Collector effects) {
		if (!replica.isNew(document.version())) {
			return;
		}
		Optional<String> problem = this.checker.problem(document);
		if (problem.isPresent()) {
			replica.refuse(document.version());
			effects.addDecision(new Effects.Refused(document, problem.get()));
			sendStatus(nowNanos, view, effects);
			return;
		}
		effects.addDecision(new Effects.Adopted(document, replica.version()));
		replica.adopt(document);
		view.children().forEach((child) -> effects.send(child, digest(false)));
		if (this.ready) {
			sendStatus(nowNanos, view, effects);
		}
	}

	private void becomeReady(long nowNanos, PeerView view, Effects.Collector effects) {
		if (this.ready || !this.scopes.values().stream().allMatch(ScopeReplica::isUpToDate)) {
			return;
		}
		boolean confirmedByPlatform = this.scopes.values().stream().allMatch(ScopeReplica::isConfirmed);
		boolean confirmedByPeers = isPlatformTimedOut(nowNanos) && view.peerCount() > 0
				&& this.readyPeers.size() >= this.settings.requiredReadyPeers(view.peerCount());
		if (confirmedByPlatform || confirmedByPeers) {
			this.ready = true;
			effects
				.addDecision(new Effects.Ready(confirmedByPlatform ? "platform" : this.readyPeers.size() + " peers"));
			sendStatus(nowNanos, view, effects);
		}
	}

	// Peers may have older versions than the one that was in force here before a restart,
	// so their digests count only if the platform has not answered in time.
	private boolean isPlatformTimedOut(long nowNanos) {
		return this.startedAtNanos.filter((at) -> nowNanos - at >= this.settings.platformTimeout().toNanos())
			.isPresent();
	}

	private void sendStatus(long nowNanos, PeerView view, Effects.Collector effects) {
		this.lastStatusNanos = Optional.of(nowNanos);
		view.relays().forEach((relay) -> effects.send(relay, new Status(status())));
	}

	private Digest digest(boolean replyWanted) {
		return new Digest(this.ready, replyWanted, states());
	}

	private List<ScopeState> states() {
		List<ScopeState> states = new ArrayList<>();
		this.scopes.values().forEach((track) -> states.add(track.state()));
		return states;
	}

}
