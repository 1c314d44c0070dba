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

	private final Map<String, ScopeTrack> scopes = new TreeMap<>();

	private final ConfigurationChecker checker;

	private final SpreadTerms terms;

	private final Set<InstanceId> sponsors = new HashSet<>();

	private final StatusBoard board = new StatusBoard();

	private boolean ready;

	private Optional<Long> startedAt = Optional.empty();

	private Optional<Long> comparedAt = Optional.empty();

	private Optional<Long> statusAt = Optional.empty();

	private ConfigurationNode(InstanceId self, Set<String> scopes, ConfigurationChecker checker, SpreadTerms terms) {
		this.self = self;
		scopes.forEach((scope) -> this.scopes.put(scope, new ScopeTrack(scope)));
		this.checker = checker;
		this.terms = terms;
	}

	/**
	 * Returns a node that has just started.
	 * @param self the node's instance
	 * @param scopes the scopes that it needs
	 * @param checker checks a configuration before it is adopted
	 * @param terms the sizes and times of the spread
	 * @return the node
	 */
	public static ConfigurationNode of(InstanceId self, Set<String> scopes, ConfigurationChecker checker,
			SpreadTerms terms) {
		return new ConfigurationNode(self, scopes, checker, terms);
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
		return this.ready ? Optional.ofNullable(this.scopes.get(scope)).flatMap(ScopeTrack::inForce) : Optional.empty();
	}

	/**
	 * Returns the version above which a configuration is news to the node; a relay
	 * watches for higher ones.
	 * @param scope the scope
	 * @return the highest version that was adopted or refused; {@code 0} if none was
	 */
	public long newsAbove(String scope) {
		return Optional.ofNullable(this.scopes.get(scope)).map(ScopeTrack::newsAbove).orElse(0L);
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
		this.board.put(status(), nowNanos);
		return this.board.statuses(nowNanos);
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
			document.ifPresent((stored) -> offer(track, stored, nowNanos, view, effects));
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
			compare(from, digest, nowNanos, effects);
		}
		else if (message instanceof Request request) {
			Optional.ofNullable(this.scopes.get(request.scope()))
				.flatMap((track) -> track.hand(request.above(), this.terms.handLimit(), this.terms.handWindow(),
						nowNanos))
				.ifPresent((document) -> effects.send(from, document));
		}
		else if (message instanceof Document document) {
			Optional.ofNullable(this.scopes.get(document.scope()))
				.ifPresent((track) -> offer(track, document, nowNanos, view, effects));
		}
		else if (message instanceof Status status) {
			this.board.put(status.status(), nowNanos);
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
		this.startedAt = this.startedAt.or(() -> Optional.of(nowNanos));
		this.scopes.forEach((scope, track) -> request(scope, track, nowNanos, effects));
		if (isDue(this.comparedAt, (this.ready ? this.terms.comparison() : this.terms.joining()).toNanos(), nowNanos)) {
			this.comparedAt = Optional.of(nowNanos);
			partners(view, random).forEach((peer) -> effects.send(peer, digest(true)));
		}
		if (isDue(this.statusAt, this.terms.statusRepeat().toNanos(), nowNanos)) {
			tellStatus(nowNanos, view, effects);
		}
		becomeReady(nowNanos, view, effects);
		return effects.effects();
	}

	private List<InstanceId> partners(PeerView view, RandomGenerator random) {
		return this.ready ? view.partner(random).stream().toList()
				: view.sponsors(this.terms.sponsors() + view.relays().size(), random);
	}

	private static boolean isDue(Optional<Long> last, long intervalNanos, long nowNanos) {
		return last.filter((at) -> nowNanos - at < intervalNanos).isEmpty();
	}

	private void compare(InstanceId from, Digest digest, long nowNanos, Effects.Collector effects) {
		if (digest.ready()) {
			this.sponsors.add(from);
		}
		boolean senderLags = !digest.ready();
		for (ScopeState peer : digest.scopes()) {
			ScopeTrack track = this.scopes.get(peer.scope());
			if (track != null) {
				track.hear(peer, from);
				senderLags |= track.version() > peer.inForce();
				request(peer.scope(), track, nowNanos, effects);
			}
		}
		if (digest.replyWanted() && senderLags) {
			effects.send(from, digest(false));
		}
	}

	private void request(String scope, ScopeTrack track, long nowNanos, Effects.Collector effects) {
		track.ask(this.terms.requestTimeout(), nowNanos)
			.ifPresent((peer) -> effects.send(peer, new Request(scope, track.version())));
	}

	private void offer(ScopeTrack track, Document document, long nowNanos, PeerView view, Effects.Collector effects) {
		if (!track.isNews(document.version())) {
			return;
		}
		Optional<String> problem = this.checker.problem(document);
		if (problem.isPresent()) {
			track.refuse(document.version());
			effects.decide(new Effects.Refused(document, problem.get()));
			tellStatus(nowNanos, view, effects);
			return;
		}
		effects.decide(new Effects.Adopted(document, track.version()));
		track.adopt(document);
		view.children().forEach((child) -> effects.send(child, digest(false)));
		if (this.ready) {
			tellStatus(nowNanos, view, effects);
		}
	}

	private void becomeReady(long nowNanos, PeerView view, Effects.Collector effects) {
		if (this.ready || !this.scopes.values().stream().allMatch(ScopeTrack::isWhole)) {
			return;
		}
		boolean byPlatform = this.scopes.values().stream().allMatch(ScopeTrack::isConfirmed);
		boolean byPeers = isPlatformLate(nowNanos) && view.peerCount() > 0
				&& this.sponsors.size() >= this.terms.sponsorsAmong(view.peerCount());
		if (byPlatform || byPeers) {
			this.ready = true;
			effects.decide(new Effects.Ready(byPlatform ? "platform" : this.sponsors.size() + " peers"));
			tellStatus(nowNanos, view, effects);
		}
	}

	// Peers may lag behind the version that was in force here before a restart, so their
	// word counts only where the platform does not answer.
	private boolean isPlatformLate(long nowNanos) {
		return this.startedAt.filter((at) -> nowNanos - at >= this.terms.platformPatience().toNanos()).isPresent();
	}

	private void tellStatus(long nowNanos, PeerView view, Effects.Collector effects) {
		this.statusAt = Optional.of(nowNanos);
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
