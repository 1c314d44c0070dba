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
 * Decides which configuration is in force at one node, and whom to tell. It does no I/O
 * and is driven from one thread.
 *
 * <p>
 * A node adopts only a version higher than its own, whole, and after the checker agreed.
 * A node that has just started keeps nothing from before; it serves only once the
 * platform, or enough ready peers, have named the highest version they know and the node
 * has that version.
 *
 * <pre>{@code
 * ConfigurationNode node = ConfigurationNode.of(self, Set.of("main"), checker, SpreadTerms.DEFAULT);
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
			PropagationSettings terms) {
		this.self = self;
		scopes.forEach((scope) -> this.scopes.put(scope, new ScopeReplica(scope)));
		this.checker = checker;
		this.settings = terms;
	}

	/**
	 * Returns a node that has just started.
	 * @param self the node's instance
	 * @param scopes the scopes that it needs
	 * @param checker checks a configuration before it is adopted
	 * @param settings the sizes and times of the spread
	 * @return the node
	 */
	public static ConfigurationNode of(InstanceId self, Set<String> scopes, ConfigurationChecker checker,
			PropagationSettings settings) {
		return new ConfigurationNode(self, scopes, checker, settings);
	}

	/**
	 * Tells whether the node may serve.
	 * @return whether it has all configurations and knows of none higher; once true it
	 * stays so
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
	 * Returns the version above which a configuration is news to the node; a relay
	 * watches for higher ones.
	 * @param scope the scope
	 * @return the highest version that was adopted or refused; {@code 0} if none was
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
	 * Returns the statuses heard from the data centre's nodes, this one's among them.
	 * @param nowNanos the time
	 * @return the statuses by instance; complete only at a relay
	 */
	public List<NodeStatus> statuses(long nowNanos) {
		this.statusRegistry.put(status(), nowNanos);
		return this.statusRegistry.statuses(nowNanos);
	}

	/**
	 * Takes the platform's answer to a read or watch of a scope, from a relay's watch or
	 * from the read of a node that joins.
	 * @param scope the scope
	 * @param document what is there; empty if there is none
	 * @param nowNanos the time
	 * @param view the node's peers
	 * @return what to do
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
	 * Takes a message.
	 * @param from the sender
	 * @param message the message
	 * @param nowNanos the time
	 * @param view the node's peers
	 * @return what to do
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
	 * Does what is due. Called several times a second.
	 * @param nowNanos the time
	 * @param view the node's peers
	 * @param random the source of choices
	 * @return what to do
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

	// Peers may lag behind the version that was in force here before a restart, so their
	// word counts only where the platform does not answer.
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
