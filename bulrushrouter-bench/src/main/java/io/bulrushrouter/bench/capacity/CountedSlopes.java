package io.bulrushrouter.bench.capacity;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;

import io.bulrushrouter.coordination.configuration.CompressedBody;
import io.bulrushrouter.daemon.node.ControlMessages;
import io.bulrushrouter.experts.PopularityReport;
import io.bulrushrouter.routing.LoadReport;
import io.bulrushrouter.routing.PrefixHint;

/**
 * Slopes of counted bytes, messages and calls. Unlike timed slopes they are the same in
 * each run.
 *
 * @param configurationByOrganisation bytes of a configuration over organisations
 * @param configurationByUpstream bytes of a configuration over upstreams
 * @param compressedConfiguration bytes of a configuration after gzip over organisations
 * @param idleMessages messages a second of the mean idle node over nodes
 * @param idleBytes bytes a second of the busiest idle node over nodes
 * @param versionBytes bytes that the busiest node sends and receives for a configuration
 * version over the version's bytes
 * @param versionMessages messages that the mean node sends and receives for a
 * configuration version over nodes
 * @param leaseReads reads a second over leases
 * @param leaseWrites writes a second over leases
 * @param claimWrites writes a second for claims over shards
 * @param claimBytes bytes a second written for claims over shards
 * @param switchMessages the balancer's messages for a map switch over ranks
 * @param switchBytes the balancer's bytes for a map switch over ranks
 * @param progressBytes bytes of the evacuation's progress over upstreams
 * @param reportBytes bytes of the evacuation's report over upstreams
 */
record CountedSlopes(LinearFit configurationByOrganisation, LinearFit configurationByUpstream,
		LinearFit compressedConfiguration, LinearFit idleMessages, LinearFit idleBytes, LinearFit versionBytes,
		LinearFit versionMessages, LinearFit leaseReads, LinearFit leaseWrites, LinearFit claimWrites,
		LinearFit claimBytes, LinearFit switchMessages, LinearFit switchBytes, LinearFit progressBytes,
		LinearFit reportBytes) {

	private static final int IDLE_SECONDS = 60;

	private static final int SPREAD_NODES = 200;

	private static final int[] BODY_SIZES = { 1_000, 50_000, 200_000, 400_000 };

	/** Bytes of a load report, including frame and network headers. */
	static final int LOAD_REPORT_BYTES = FrameSizes.bytes(report(List.of()));

	/** Bytes of a probe for an upstream's load, sent before an upstream is chosen. */
	static final int PROBE_BYTES = FrameSizes.bytes(new ControlMessages.Probe(1_000_000, Long.MAX_VALUE));

	/** Bytes of the answer to a probe. */
	static final int PROBE_ANSWER_BYTES = FrameSizes
		.bytes(new ControlMessages.ProbeAnswer(1_000_000, report(List.of(new PrefixHint(Long.MAX_VALUE, 1536)))));

	/** Bytes of a request to a sidecar for the state of its upstream. */
	static final int OBSERVE_BYTES = FrameSizes.bytes(new ControlMessages.ObserveUpstream(1_000_000));

	/** Bytes of the answer to a state request. */
	static final int OBSERVED_BYTES = FrameSizes
		.bytes(new ControlMessages.UpstreamObserved(1_000_000, "RUNNING", 60, ""));

	/** Bytes of a rank's report of the tokens for each expert of one layer. */
	static final int POPULARITY_REPORT_BYTES = FrameSizes.bytes(new PopularityReport(200, 1_000, 30, Long.MAX_VALUE,
			IntStream.range(0, TargetSize.EXPERTS).map((expert) -> 300 + expert).toArray()));

	private static LoadReport report(List<PrefixHint> hints) {
		return new LoadReport(Long.MAX_VALUE, 1_000_000, 400_000_000, 12_000, 60, 0.5, 0.0625, hints);
	}

	static CountedSlopes of(Sizes sizes) {
		return new CountedSlopes(
				LinearFit.of("configuration, bytes (of 600 upstreams)", "organisations", sizes.organisations(),
						(size) -> Inventory.configuration(size, TargetSize.SIDECARS).toJson().length),
				LinearFit.of("configuration, bytes (of 1,600 organisations)", "upstreams", sizes.upstreams(),
						(size) -> Inventory.configuration(TargetSize.ORGANISATIONS, size).toJson().length),
				LinearFit.of("configuration after gzip, bytes (of 600 upstreams)", "organisations",
						sizes.organisations(), CountedSlopes::compressedBytes),
				LinearFit.of("spread at rest, messages/s in and out of the mean node", "nodes", sizes.nodes(),
						(size) -> fleetAfterIdle(size).meanMessages() / IDLE_SECONDS),
				LinearFit.of("spread at rest, bytes/s in and out of the busiest node", "nodes", sizes.nodes(),
						(size) -> fleetAfterIdle(size).maxBytes() / IDLE_SECONDS),
				LinearFit.of("a version, bytes in and out of the busiest of 200 nodes", "bytes of the version",
						BODY_SIZES, (size) -> fleetAfterVersion(SPREAD_NODES, size).maxBytes()),
				LinearFit.of("a version, messages in and out of the mean node", "nodes", sizes.nodes(),
						(size) -> fleetAfterVersion(size, BODY_SIZES[0]).meanMessages()),
				LinearFit.of("leases, reads/s", "leases", sizes.leases(),
						(size) -> LeaseLoad.run(size).readsPerSecond()),
				LinearFit.of("leases, writes/s", "leases", sizes.leases(),
						(size) -> LeaseLoad.run(size).writesPerSecond()),
				LinearFit.of("2,100 claims/s at homes, writes/s", "shards", sizes.shards(),
						(size) -> ClaimLoad.run(size, TargetSize.REQUESTS_PER_SECOND).writesPerSecond()),
				LinearFit.of("2,100 claims/s at homes, bytes/s written", "shards", sizes.shards(),
						(size) -> ClaimLoad.run(size, TargetSize.REQUESTS_PER_SECOND).bytesPerSecond()),
				LinearFit.of("map switch, messages of the balancer", "ranks", sizes.ranks(),
						(size) -> MapSwitchRun.run(size).messages()),
				LinearFit.of("map switch, bytes of the balancer", "ranks", sizes.ranks(),
						(size) -> MapSwitchRun.run(size).bytes()),
				LinearFit.of("evacuation's progress, bytes", "upstreams", sizes.upstreams(),
						(size) -> EvacuationScenario.of(size).progressBytes()),
				LinearFit.of("evacuation's report as JSON, bytes", "upstreams", sizes.upstreams(),
						(size) -> EvacuationScenario.of(size).reportBytes()));
	}

	private static double compressedBytes(int organisations) {
		return CompressedBody.compress(Inventory.configuration(organisations, TargetSize.SIDECARS).toJson()).length;
	}

	private static ConfigurationFleet fleetAfterIdle(int nodes) {
		ConfigurationFleet fleet = new ConfigurationFleet(nodes);
		fleet.resetCounters();
		fleet.runIdle(IDLE_SECONDS);
		return fleet;
	}

	private static ConfigurationFleet fleetAfterVersion(int nodes, int bytes) {
		ConfigurationFleet fleet = new ConfigurationFleet(nodes);
		fleet.resetCounters();
		fleet.publish(new byte[bytes]);
		if (!fleet.allHaveLatestVersion()) {
			throw new IllegalStateException("a configuration version did not reach all nodes");
		}
		return fleet;
	}

	List<LinearFit> fits() {
		List<LinearFit> fits = new ArrayList<>();
		fits.addAll(
				List.of(this.configurationByOrganisation, this.configurationByUpstream, this.compressedConfiguration));
		fits.addAll(List.of(this.idleMessages, this.idleBytes, this.versionBytes, this.versionMessages));
		fits.addAll(List.of(this.leaseReads, this.leaseWrites, this.claimWrites, this.claimBytes));
		fits.addAll(List.of(this.switchMessages, this.switchBytes, this.progressBytes, this.reportBytes));
		return fits;
	}

	/**
	 * The sizes at which each slope is sampled.
	 *
	 * @param nodes the numbers of configuration nodes
	 * @param organisations the numbers of organisations
	 * @param upstreams the numbers of upstreams
	 * @param leases the numbers of leases
	 * @param shards the numbers of claim shards
	 * @param ranks the numbers of ranks in a group
	 */
	record Sizes(int[] nodes, int[] organisations, int[] upstreams, int[] leases, int[] shards, int[] ranks) {

		static Sizes ofTarget() {
			return new Sizes(new int[] { 50, 100, 200, 400, 1000 }, new int[] { 100, 400, 800, 1600 },
					new int[] { 100, 200, 400, 600 }, new int[] { 1, 10, 50, 100 }, new int[] { 2, 4, 8, 16 },
					new int[] { 8, 32, 64, 128, 256 });
		}

		static Sizes ofSmall() {
			return new Sizes(new int[] { 50, 100, 200 }, new int[] { 100, 400 }, new int[] { 50, 100 },
					new int[] { 1, 10 }, new int[] { 4, 8 }, new int[] { 8, 32, 64 });
		}

	}

}
