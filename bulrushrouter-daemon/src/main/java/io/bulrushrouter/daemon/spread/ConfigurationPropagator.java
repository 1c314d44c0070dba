package io.bulrushrouter.daemon.spread;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;

import io.bulrushrouter.coordination.CallBudget;
import io.bulrushrouter.coordination.configuration.ConfigurationMessage;
import io.bulrushrouter.coordination.configuration.ConfigurationNode;
import io.bulrushrouter.coordination.configuration.Effects;
import io.bulrushrouter.coordination.configuration.NodeStatus;
import io.bulrushrouter.coordination.configuration.PeerView;
import io.bulrushrouter.coordination.configuration.PropagationSettings;
import io.bulrushrouter.coordination.configuration.RelayDriver;
import io.bulrushrouter.coordination.configuration.RelayWatch;
import io.bulrushrouter.daemon.config.Configuration;
import io.bulrushrouter.daemon.node.DaemonResources;
import io.bulrushrouter.daemon.node.DecisionLog;
import io.bulrushrouter.daemon.node.ProcessSettings;
import io.bulrushrouter.kernel.BulrushException;
import io.bulrushrouter.kernel.InstanceId;
import io.bulrushrouter.kernel.TimeSource;
import io.bulrushrouter.kernel.duty.Duty;
import io.bulrushrouter.kernel.store.LiveInstance;
import io.bulrushrouter.kernel.store.ObjectKey;
import io.bulrushrouter.wire.PeerConnection;
import io.bulrushrouter.wire.PeerNetwork;
import io.bulrushrouter.wire.WireMessage;

/**
 * Takes part in the propagation of configurations for one process: exchanges messages
 * with other processes, polls the platform's store if this process is a relay, and
 * delivers adopted configurations to its listener. Runs on a duty of its own.
 */
public final class ConfigurationPropagator implements AutoCloseable {

	/** The scope that all processes subscribe to. */
	public static final String SCOPE = "main";

	/** The key of the object that stores the configuration. */
	public static final ObjectKey KEY = RelayWatch.keyOf(SCOPE);

	private static final Duration TICK_INTERVAL = Duration.ofMillis(100);

	private static final long LIVE_LIST_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(5);

	private final ProcessSettings process;

	private final DaemonResources resources;

	private final LiveInstance self;

	private final RandomGenerator random;

	private final Listener listener;

	private final TimeSource time = TimeSource.ofSystem();

	private final ConfigurationNode node;

	private final PeerConnections peers;

	private final RelayDriver relay;

	private final Duty<Runnable> duty;

	private PeerView view;

	/**
	 * Whether the live list was read. Until then, each process would consider itself a
	 * relay.
	 */
	private boolean listReceived;

	private long deliveredVersion;

	private long lastListRequestNanos = Long.MIN_VALUE / 2;

	private ConfigurationPropagator(ProcessSettings process, DaemonResources resources, LiveInstance self,
			PeerNetwork network, RandomGenerator random, Listener listener) {
		this.process = process;
		this.resources = resources;
		this.self = self;
		this.random = random;
		this.listener = listener;
		this.node = ConfigurationNode.of(process.name(), Set.of(SCOPE), ConfigurationPropagator::validate,
				PropagationSettings.DEFAULT);
		this.peers = new PeerConnections(network, this::addressOf);
		this.relay = RelayDriver.builder(this.node, Set.of(SCOPE), resources.store("configuration", CallBudget.RELAY))
			.executor(this::enqueue)
			.listener(this::receiveStored)
			.build();
		this.view = createView(List.of());
		this.duty = Duty.<Runnable>builder("configuration", Runnable::run).tick(TICK_INTERVAL, this::tick).start();
	}

	/**
	 * Starts the propagation of configurations.
	 * @param process the settings common to all daemons
	 * @param resources the process's clients
	 * @param self the record of this process for the live list
	 * @param network the process's connections to peers
	 * @param random the source of random choices
	 * @param listener receives configurations and the live list, on the propagator's duty
	 * @return the running propagator
	 */
	public static ConfigurationPropagator start(ProcessSettings process, DaemonResources resources, LiveInstance self,
			PeerNetwork network, RandomGenerator random, Listener listener) {
		return new ConfigurationPropagator(process, resources, self, network, random, listener);
	}

	private static Optional<String> validate(ConfigurationMessage.Document document) {
		try {
			Configuration.ofStored(document.body());
			return Optional.empty();
		}
		catch (BulrushException ex) {
			return Optional.of(ex.getMessage());
		}
	}

	private void enqueue(Runnable action) {
		this.duty.put(action);
	}

	private Optional<InetSocketAddress> addressOf(InstanceId instance) {
		return this.resources.liveList()
			.instances()
			.stream()
			.filter((live) -> live.instance().equals(instance))
			.findFirst()
			.map((live) -> ProcessSettings.socketAddress(live.address()));
	}

	private PeerView createView(List<LiveInstance> listed) {
		List<LiveInstance> all = new ArrayList<>(listed);
		if (listed.stream().noneMatch((live) -> live.instance().equals(this.self.instance()))) {
			all.add(this.self);
		}
		return PeerView.of(this.process.name(), this.process.dataCentre(), all, PropagationSettings.DEFAULT);
	}

	private void tick() {
		long now = this.time.nanos();
		if (now - this.lastListRequestNanos > LIVE_LIST_INTERVAL_NANOS) {
			this.lastListRequestNanos = now;
			this.resources.liveList().refresh().thenAccept((answered) -> {
				if (answered) {
					enqueue(this::updateLiveList);
				}
			});
		}
		this.relay.tick(this.listReceived && this.view.isRelay());
		apply(this.node.onTick(now, this.view, this.random));
		this.peers.closeIdle(now);
	}

	private void updateLiveList() {
		List<LiveInstance> instances = this.resources.liveList().instances();
		this.listReceived = true;
		this.view = createView(instances);
		this.listener.listed().accept(instances);
	}

	private void receiveStored(RelayWatch.StoredConfiguration stored) {
		apply(this.node.onStored(stored.scope(), stored.document(), this.time.nanos(), this.view));
	}

	private void apply(Effects effects) {
		long now = this.time.nanos();
		effects.messages()
			.forEach((outgoing) -> this.peers.send(outgoing.to(), ConfigurationMessageCodec.encode(outgoing.message()),
					now));
		effects.decisions().forEach(ConfigurationPropagator::log);
		this.node.inForce(SCOPE)
			.filter((document) -> document.version() > this.deliveredVersion)
			.ifPresent((document) -> deliver(document));
	}

	private void deliver(ConfigurationMessage.Document document) {
		this.deliveredVersion = document.version();
		this.listener.adopted()
			.accept(new ActiveConfiguration(document.version(), Configuration.ofStored(document.body())));
	}

	private static void log(Effects.Decision decision) {
		if (decision instanceof Effects.Adopted adopted) {
			DecisionLog.of("configuration-adopted")
				.with("version", adopted.document().version())
				.with("before", adopted.previousVersion())
				.write();
		}
		else if (decision instanceof Effects.Refused refused) {
			DecisionLog.of("configuration-refused")
				.with("version", refused.document().version())
				.with("reason", refused.problem())
				.write();
		}
		else if (decision instanceof Effects.Ready ready) {
			DecisionLog.of("configuration-ready").with("confirmed-by", ready.confirmation()).write();
		}
	}

	/**
	 * Records a new connection.
	 * @param connection the connection
	 */
	public void peerConnected(PeerConnection connection) {
		enqueue(() -> this.peers.connected(connection));
	}

	/**
	 * Records that a connection was closed.
	 * @param connection the connection
	 */
	public void peerDisconnected(PeerConnection connection) {
		enqueue(() -> this.peers.disconnected(connection));
	}

	/**
	 * Handles a message if it is about configurations and ignores it otherwise.
	 * @param connection the sender's connection
	 * @param control the message
	 */
	public void handleMessage(PeerConnection connection, WireMessage.Control control) {
		ConfigurationMessageCodec.decode(control)
			.ifPresent((message) -> enqueue(() -> apply(this.node.onMessage(PeerConnections.instanceOf(connection),
					message, this.time.nanos(), this.view))));
	}

	/**
	 * Sends a control message to another process and opens a connection if there is none.
	 * The message is dropped if the process cannot be reached.
	 * @param to the receiving instance
	 * @param message the message
	 */
	public void send(InstanceId to, WireMessage.Control message) {
		enqueue(() -> this.peers.send(to, message, this.time.nanos()));
	}

	/**
	 * Returns the adopted versions of the nodes known to this process. At a relay the
	 * list is complete for its data centre.
	 * @return the statuses of the nodes
	 */
	public CompletableFuture<List<NodeStatus>> statuses() {
		CompletableFuture<List<NodeStatus>> answer = new CompletableFuture<>();
		enqueue(() -> answer.complete(this.node.statuses(this.time.nanos())));
		return answer;
	}

	@Override
	public void close() {
		this.duty.close();
	}

	/**
	 * Receives the results that other duties of the process need.
	 *
	 * @param adopted receives each configuration that the process adopts
	 * @param listed receives the live list each time it was read
	 */
	public record Listener(Consumer<ActiveConfiguration> adopted, Consumer<List<LiveInstance>> listed) {
	}

}
