package io.bulrushrouter.gateway.node;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Test;

import io.bulrushrouter.gateway.config.Access;
import io.bulrushrouter.gateway.config.ActiveConfiguration;
import io.bulrushrouter.gateway.config.CallerLimits;
import io.bulrushrouter.gateway.config.GatewayConfiguration;
import io.bulrushrouter.gateway.config.Organisation;
import io.bulrushrouter.gateway.source.FeedResult.Item;
import io.bulrushrouter.gateway.source.FreshnessProof;

import static com.google.common.truth.Truth.assertThat;

/**
 * Which configuration is in use, and whether its keys are proven, whatever the store
 * holds.
 */
class ConfigurationAdoptionTests {

	private static final Item<GatewayConfiguration> UNREADABLE = new Item<>("main", Optional.empty());

	private final List<Long> adopted = new ArrayList<>();

	private long nowMillis;

	private final FreshnessProof freshness = new FreshnessProof(this::nowNanos, () -> this.nowMillis);

	private final ConfigurationAdoption adoption = new ConfigurationAdoption(this::record, this.freshness,
			this::nowNanos);

	private void record(ActiveConfiguration configuration) {
		this.adopted.add(configuration.version());
	}

	private long nowNanos() {
		return TimeUnit.MILLISECONDS.toNanos(this.nowMillis);
	}

	private static Item<GatewayConfiguration> version(long version) {
		Access access = Access
			.ofOrganisations(List.of(new Organisation("bakers", List.of("key"), OptionalInt.empty())));
		return new Item<>("main",
				Optional.of(new GatewayConfiguration(version, List.of(), Map.of(), CallerLimits.DEFAULTS, access)));
	}

	private long ageOfProofAfter(long millis) {
		this.nowMillis += millis;
		this.adoption.changed(List.of(), nowNanos());
		return this.freshness.ageMillis();
	}

	// Guards against keys that stay valid although the version that takes them away
	// cannot
	// be read.
	@Test
	void provesNoKeysWhileTheNewestConfigurationCannotBeRead() {
		this.adoption.listed(List.of(version(1)), 0);
		assertThat(ageOfProofAfter(1_000)).isEqualTo(0);
		this.adoption.changed(List.of(UNREADABLE), nowNanos());
		assertThat(ageOfProofAfter(3_000)).isEqualTo(3_000);
		this.adoption.changed(List.of(version(3)), nowNanos());
		assertThat(ageOfProofAfter(1_000)).isEqualTo(0);
		assertThat(this.adopted).containsExactly(1L, 3L).inOrder();
	}

	@Test
	void provesNoKeysOnceTheConfigurationIsMissingInAList() {
		this.adoption.listed(List.of(version(1)), 0);
		this.adoption.listed(List.of(), nowNanos());
		assertThat(ageOfProofAfter(3_000)).isEqualTo(3_000);
		this.adoption.listed(List.of(UNREADABLE), nowNanos());
		assertThat(ageOfProofAfter(3_000)).isEqualTo(6_000);
		this.adoption.listed(List.of(version(1)), nowNanos());
		assertThat(ageOfProofAfter(0)).isEqualTo(0);
		assertThat(this.adopted).containsExactly(1L);
	}

	@Test
	void neverRevertsToAnOlderVersion() {
		this.adoption.listed(List.of(version(2)), 0);
		this.adoption.changed(List.of(version(1)), 0);
		assertThat(this.adopted).containsExactly(2L);
		assertThat(this.adoption.version()).isEqualTo(2);
	}

}
