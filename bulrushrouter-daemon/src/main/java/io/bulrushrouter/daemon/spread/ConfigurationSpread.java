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
import io.bulrushrouter.coordination.configuration.RelayDriver;
import io.bulrushrouter.coordination.configuration.RelayWatch;
import io.bulrushrouter.coordination.configuration.SpreadTerms;
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
 * One process's part in the spread of configurations: a thread of its own that carries
 * messages, asks the platform if it is a relay, and hands over what is in force.
 */
public final class ConfigurationSpread implements AutoCloseable {

	/** The scope that all processes need. */
	public static final String SCOPE = "main";

	/** The object that holds the configuration. */
	public static final ObjectKey KEY = RelayWatch.keyOf(SCOPE);

	private static final Duration TICK = Duration.ofMillis(100);

	private static final long LIVE_LIST_NANOS = TimeUnit.SECONDS.toNanos(5);

	private final ProcessSettings process;

	private final DaemonResources bootstrap;

	private final LiveInstance self;

	private final RandomGenerator random;

	private final Listener listener;

	private final TimeSource time = TimeSource.ofSystem();

	private final ConfigurationNode node;

	private final PeerDirectory peers;

	private final RelayDriver relay;

	private final Duty<Runnable> duty;

	private PeerView view;

	/** Whether the list was read: before, each process would take itself for a relay. */
	private boolean listSeen;

	private long handedOver;

	private long listAskedNanos = Long.MIN_VALUE / 2;

	private ConfigurationSpread(ProcessSettings process, DaemonResources bootstrap, LiveInstance self,
			PeerNetwork network, RandomGenerator random, Listener listener) {
		this.process = process;
		this.bootstrap = bootstrap;
		this.self = self;
		this.random = random;
		this.listener = listener;
		this.node = ConfigurationNode.of(process.name(), Set.of(SCOPE), ConfigurationSpread::problem,
				SpreadTerms.DEFAULT);
		this.peers = new PeerDirectory(network, this::address);
		this.relay = RelayDriver.builder(this.node, Set.of(SCOPE), bootstrap.store("configuration", CallBudget.RELAY))
			.thread(this::put)
			.stored(this::stored)
			.build();
		this.view = view(List.of());
		this.duty = Duty.<Runnable>builder("configuration", Runnable::run).tick(TICK, this::tick).start();
	}

	/**
	 * Starts the spread.
	 * @param process what all daemons share
	 * @param bootstrap the process's clients
	 * @param self this process as the live list would show it
	 * @param network the process's connections
	 * @param random the source of choices
	 * @param listener hears of configurations and of the list, on the spread's thread
	 * @return the running spread
	 */
	public static ConfigurationSpread start(ProcessSettings process, DaemonResources bootstrap, LiveInstance self,
			PeerNetwork network, RandomGenerator random, Listener listener) {
		return new ConfigurationSpread(process, bootstrap, self, network, random, listener);
	}

	private static Optional<String> problem(ConfigurationMessage.Document document) {
		try {
			Configuration.ofStored(document.body());
			return Optional.empty();
		}
		catch (BulrushException ex) {
			return Optional.of(ex.getMessage());
		}
	}

	private void put(Runnable action) {
		this.duty.put(action);
	}

	private Optional<InetSocketAddress> address(InstanceId instance) {
		return this.bootstrap.liveList()
			.instances()
			.stream()
			.filter((live) -> live.instance().equals(instance))
			.findFirst()
			.map((live) -> ProcessSettings.socketAddress(live.address()));
	}

	private PeerView view(List<LiveInstance> listed) {
		List<LiveInstance> all = new ArrayList<>(listed);
		if (listed.stream().noneMatch((live) -> live.instance().equals(this.self.instance()))) {
			all.add(this.self);
		}
		return PeerView.of(this.process.name(), this.process.dataCentre(), all, SpreadTerms.DEFAULT);
	}

	private void tick() {
		long now = this.time.nanos();
		if (now - this.listAskedNanos > LIVE_LIST_NANOS) {
			this.listAskedNanos = now;
			this.bootstrap.liveList().refresh().thenAccept((answered) -> {
				if (answered) {
					put(this::takeList);
				}
			});
		}
		this.relay.tick(this.listSeen && this.view.isRelay());
		apply(this.node.onTick(now, this.view, this.random));
		this.peers.closeIdle(now);
	}

	private void takeList() {
		List<LiveInstance> instances = this.bootstrap.liveList().instances();
		this.listSeen = true;
		this.view = view(instances);
		this.listener.listed().accept(instances);
	}

	private void stored(RelayWatch.Stored stored) {
		apply(this.node.onStored(stored.scope(), stored.document(), this.time.nanos(), this.view));
	}

	private void apply(Effects effects) {
		long now = this.time.nanos();
		effects.messages()
			.forEach((outgoing) -> this.peers.send(outgoing.to(), SpreadMessages.encode(outgoing.message()), now));
		effects.decisions().forEach(ConfigurationSpread::log);
		this.node.inForce(SCOPE)
			.filter((document) -> document.version() > this.handedOver)
			.ifPresent((document) -> handOver(document));
	}

	private void handOver(ConfigurationMessage.Document document) {
		this.handedOver = document.version();
		this.listener.adopted().accept(new InForce(document.version(), Configuration.ofStored(document.body())));
	}

	private static void log(Effects.Decision decision) {
		if (decision instanceof Effects.Adopted adopted) {
			DecisionLog.of("configuration-adopted")
				.with("version", adopted.document().version())
				.with("before", adopted.before())
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
	 * Notes a connection.
	 * @param connection the connection
	 */
	public void up(PeerConnection connection) {
		put(() -> this.peers.up(connection));
	}

	/**
	 * Notes a lost connection.
	 * @param connection the connection
	 */
	public void down(PeerConnection connection) {
		put(() -> this.peers.down(connection));
	}

	/**
	 * Takes a message if it is about configurations.
	 * @param connection the sender's connection
	 * @param control the message
	 */
	public void hear(PeerConnection connection, WireMessage.Control control) {
		SpreadMessages.decode(control)
			.ifPresent((message) -> put(() -> apply(
					this.node.onMessage(PeerDirectory.instanceOf(connection), message, this.time.nanos(), this.view))));
	}

	/**
	 * Sends a control message to another process, over a new connection if there is none;
	 * it is dropped if the process cannot be reached.
	 * @param to the process's instance
	 * @param message the message
	 */
	public void send(InstanceId to, WireMessage.Control message) {
		put(() -> this.peers.send(to, message, this.time.nanos()));
	}

	/**
	 * Returns the versions in force at the nodes that this process has heard of; complete
	 * for its data centre at a relay.
	 * @return the statuses
	 */
	public CompletableFuture<List<NodeStatus>> statuses() {
		CompletableFuture<List<NodeStatus>> answer = new CompletableFuture<>();
		put(() -> answer.complete(this.node.statuses(this.time.nanos())));
		return answer;
	}

	@Override
	public void close() {
		this.duty.close();
	}

	/**
	 * Hears what a process's other duties need.
	 *
	 * @param adopted takes each configuration that comes in force
	 * @param listed takes the platform's list of instances, each time it was read
	 */
	public record Listener(Consumer<InForce> adopted, Consumer<List<LiveInstance>> listed) {
	}

}
