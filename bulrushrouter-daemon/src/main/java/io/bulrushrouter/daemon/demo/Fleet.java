package io.bulrushrouter.daemon.demo;

import java.io.StringReader;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;

import io.bulrushrouter.daemon.config.ApiKeys;
import io.bulrushrouter.daemon.config.Configuration;
import io.bulrushrouter.daemon.config.ModelDemand;
import io.bulrushrouter.daemon.config.Operator;
import io.bulrushrouter.daemon.config.Organisation;
import io.bulrushrouter.daemon.config.Upstream;
import io.bulrushrouter.daemon.entry.EntryNode;
import io.bulrushrouter.daemon.entry.EntrySettings;
import io.bulrushrouter.daemon.sidecar.SidecarNode;
import io.bulrushrouter.daemon.sidecar.SidecarSettings;
import io.bulrushrouter.daemon.spread.ConfigurationPropagator;
import io.bulrushrouter.kernel.DataCentreId;
import io.bulrushrouter.kernel.InstanceId;
import io.bulrushrouter.kernel.settings.Settings;
import io.bulrushrouter.kernel.store.LiveInstance;
import io.bulrushrouter.kernel.store.Write;
import io.bulrushrouter.kernel.store.WriteId;
import io.bulrushrouter.platform.standin.PlatformServer;
import io.bulrushrouter.standin.EngineStandin;
import io.bulrushrouter.standin.ServiceStandin;

/**
 * A fleet in one process: stand-ins for the platform, engines and services, with sidecars
 * and entries.
 */
public final class Fleet implements AutoCloseable {

	/** The model that all engines serve. */
	public static final String MODEL = "assistant";

	/** The plain service. */
	public static final String SERVICE = "booking";

	private static final String LOOPBACK = "127.0.0.1";

	/** Lets two entries together retry all streams of an upstream that fails. */
	private static final int RETRY_BURST = 64;

	private static final Duration READY_TIMEOUT = Duration.ofSeconds(20);

	private final EventLoopGroup network = new NioEventLoopGroup(4);

	private final PlatformServer platform;

	private final Map<String, EngineStandin> engines = new LinkedHashMap<>();

	private final Map<String, ServiceStandin> services = new LinkedHashMap<>();

	private final Map<String, SidecarNode> sidecars = new LinkedHashMap<>();

	private final List<EntryNode> entries = new ArrayList<>();

	private final List<Upstream> upstreams = new ArrayList<>();

	private Fleet(Builder builder) {
		this.platform = PlatformServer.start(builder.platformPort);
		for (int i = 0; i < builder.engines; i++) {
			startEngine("runner-" + (i + 1), builder.dataCentre(i), builder.profile);
		}
		for (int i = 0; i < builder.services; i++) {
			startService("booking-" + (i + 1), builder.dataCentre(i));
		}
		publishConfiguration(builder.organisations);
		for (int i = 0; i < builder.entries; i++) {
			int callers = (builder.firstEntryPort > 0) ? builder.firstEntryPort + 2 * i : 0;
			this.entries.add(EntryNode
				.start(EntrySettings.of(entrySettings("entry-" + (i + 1), builder.dataCentre(i), callers))));
		}
		publishInstances();
	}

	/**
	 * Returns a builder of the default fleet: 12 engines, 3 services, 2 entries, 10
	 * organisations and 3 data centres.
	 * @return the builder
	 */
	public static Builder builder() {
		return new Builder();
	}

	/**
	 * Returns an organisation's key.
	 * @param organisation the organisation's number, from 1
	 * @return the key
	 */
	public static String key(int organisation) {
		return "demo-key-" + organisation;
	}

	/**
	 * Returns the operators' key.
	 * @return the key
	 */
	public static String operatorKey() {
		return "demo-operator-key";
	}

	private void startEngine(String name, String dataCentre, EngineStandin.Profile profile) {
		EngineStandin engine = EngineStandin.start(this.network, loopback(0), profile);
		this.engines.put(name, engine);
		startSidecar(name, dataCentre, engine.port(), "engine", profile.maxBatch());
	}

	private void startService(String name, String dataCentre) {
		ServiceStandin service = ServiceStandin.start(this.network, loopback(0), Duration.ofMillis(5));
		this.services.put(name, service);
		startSidecar(name, dataCentre, service.port(), "service", 64);
	}

	private void startSidecar(String name, String dataCentre, int port, String kind, int concurrency) {
		String ini = commonSettings(name, dataCentre)
				+ "[peers]\nlisten = 127.0.0.1:0\n[operators]\nlisten = 127.0.0.1:0\n" + "[upstream]\nname = " + name
				+ "\nurl = http://127.0.0.1:" + port + "\nkind = " + kind + "\nconcurrency = " + concurrency + "\n";
		SidecarNode sidecar = SidecarNode
			.start(SidecarSettings.of(Settings.ofReader("demo sidecar " + name, new StringReader(ini))));
		this.sidecars.put(name, sidecar);
		boolean service = kind.equals("service");
		this.upstreams.add(new Upstream(name, List.of(service ? SERVICE : MODEL), dataCentre,
				LOOPBACK + ":" + sidecar.peerPort(), service, "", concurrency));
	}

	private Settings entrySettings(String name, String dataCentre, int callers) {
		int operators = (callers > 0) ? callers + 1 : 0;
		String ini = commonSettings(name, dataCentre) + "[callers]\nlisten = 127.0.0.1:" + callers
				+ "\n[peers]\nlisten = 127.0.0.1:0\n[operators]\nlisten = 127.0.0.1:" + operators
				+ "\n[routing]\nretry-burst = " + RETRY_BURST + "\n";
		return Settings.ofReader("demo entry " + name, new StringReader(ini));
	}

	private String commonSettings(String name, String dataCentre) {
		return "[process]\nname = " + name + "\ndata-centre = " + dataCentre + "\n[platform]\nurl = "
				+ this.platform.uri() + "\n";
	}

	private void publishInstances() {
		List<LiveInstance> instances = new ArrayList<>();
		this.upstreams.forEach((upstream) -> instances.add(new LiveInstance(InstanceId.of(upstream.name()),
				DataCentreId.of(upstream.dataCentre()), SidecarNode.ROLE, upstream.address(), false)));
		this.entries.forEach((entry) -> instances.add(entry.toLiveInstance()));
		this.platform.instances(instances);
	}

	private static InetSocketAddress loopback(int port) {
		return new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
	}

	private void publishConfiguration(int count) {
		List<Organisation> organisations = new ArrayList<>();
		for (int i = 1; i <= count; i++) {
			organisations.add(new Organisation("organisation-" + i, ApiKeys.sha256(key(i)), 1, 0,
					List.of(new ModelDemand(MODEL, 8), new ModelDemand(SERVICE, 4))));
		}
		List<Operator> operators = List
			.of(new Operator("demo-operator", ApiKeys.sha256(operatorKey()), List.of("*"), List.of("*")));
		byte[] json = new Configuration(organisations, this.upstreams, operators).toStored();
		this.platform.store().write(Write.ofCreate(ConfigurationPropagator.KEY, json, new WriteId("fleet")));
	}

	/**
	 * Waits until every entry has a configuration and a connection to each sidecar.
	 * @return whether all entries became ready before the timeout
	 */
	public boolean awaitReady() {
		long deadlineNanos = System.nanoTime() + READY_TIMEOUT.toNanos();
		while (System.nanoTime() < deadlineNanos) {
			if (this.entries.stream().allMatch((entry) -> entry.connectedUpstreams() == this.upstreams.size())) {
				return true;
			}
			pause();
		}
		return false;
	}

	private static void pause() {
		try {
			TimeUnit.MILLISECONDS.sleep(10);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	/**
	 * Returns the stand-in for the platform.
	 * @return the platform
	 */
	public PlatformServer platform() {
		return this.platform;
	}

	/**
	 * Returns the stand-in engines by name.
	 * @return the engines
	 */
	public Map<String, EngineStandin> engines() {
		return this.engines;
	}

	/**
	 * Returns the stand-in services by name.
	 * @return the services
	 */
	public Map<String, ServiceStandin> services() {
		return this.services;
	}

	/**
	 * Returns the sidecars by their upstream's name.
	 * @return the sidecars
	 */
	public Map<String, SidecarNode> sidecars() {
		return this.sidecars;
	}

	/**
	 * Returns the entries.
	 * @return the entries
	 */
	public List<EntryNode> entries() {
		return this.entries;
	}

	@Override
	public void close() {
		this.entries.forEach(EntryNode::close);
		this.sidecars.values().forEach(SidecarNode::close);
		this.engines.values().forEach(EngineStandin::close);
		this.services.values().forEach(ServiceStandin::close);
		this.platform.close();
		this.network.shutdownGracefully(0, 1, TimeUnit.SECONDS);
	}

	/**
	 * Builds a {@link Fleet}.
	 */
	public static final class Builder {

		private int engines = 12;

		private int services = 3;

		private int entries = 2;

		private int organisations = 10;

		private int dataCentres = 3;

		private int firstEntryPort;

		private int platformPort;

		private EngineStandin.Profile profile = EngineStandin.Profile.ofDefaults();

		private Builder() {
		}

		private String dataCentre(int number) {
			return "dc-" + (1 + number % this.dataCentres);
		}

		/**
		 * Sets the number of engines.
		 * @param engines the number of engines
		 * @return this builder
		 */
		public Builder engines(int engines) {
			this.engines = engines;
			return this;
		}

		/**
		 * Sets the number of plain services.
		 * @param services the number of services
		 * @return this builder
		 */
		public Builder services(int services) {
			this.services = services;
			return this;
		}

		/**
		 * Sets the number of entries.
		 * @param entries the number of entries
		 * @return this builder
		 */
		public Builder entries(int entries) {
			this.entries = entries;
			return this;
		}

		/**
		 * Sets the first of the consecutive ports that entries listen on: the callers'
		 * port of the first entry, its operators' port, the callers' port of the second
		 * entry, and so on.
		 * @param firstEntryPort the first port; 0 to let the system choose every port
		 * @return this builder
		 */
		public Builder firstEntryPort(int firstEntryPort) {
			this.firstEntryPort = firstEntryPort;
			return this;
		}

		/**
		 * Sets the behaviour of the engines.
		 * @param profile the behaviour
		 * @return this builder
		 */
		public Builder profile(EngineStandin.Profile profile) {
			this.profile = profile;
			return this;
		}

		/**
		 * Starts the fleet.
		 * @return the running fleet
		 */
		public Fleet start() {
			return new Fleet(this);
		}

	}

}
