package io.bulrushrouter.gateway.forward;

import java.net.InetSocketAddress;
import java.util.OptionalLong;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import io.bulrushrouter.gateway.source.UpstreamRecord;
import io.bulrushrouter.gateway.upstream.TokensInFlight;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against requests that exceed the memory of an engine, which crashes it.
 */
class EngineTokensTests {

	private final TokensInFlight inFlight = new TokensInFlight();

	private static UpstreamRecord upstream(String id) {
		return new UpstreamRecord(id, "service", new InetSocketAddress(1), "a", 8, false, 0);
	}

	private EngineTokens request(String header) {
		return new EngineTokens(this.inFlight, header, OptionalLong.of(1_000));
	}

	@Test
	void refusesAPromptThatNoEngineCanHold() {
		assertThat(request("1001,0").oversize()).isPresent();
		assertThat(request("1000,5000").oversize()).isEmpty();
	}

	@Test
	void keepsTheTokensInFlightWithinTheMemoryOfEachEngine() {
		EngineTokens first = request("500, 200");
		first.reserve(upstream("a"));
		assertThat(request("300,1").fits(upstream("a"))).isFalse();
		assertThat(request("300,0").fits(upstream("a"))).isTrue();
		assertThat(request("300,1").fits(upstream("b"))).isTrue();
		first.reserve(upstream("b"));
		assertThat(request("900,100").fits(upstream("a"))).isTrue();
		first.release();
		first.release();
		assertThat(request("900,100").fits(upstream("b"))).isTrue();
	}

	@ParameterizedTest
	@ValueSource(strings = { "", "x,1", "-5,1", "5,-1", "99999999999999999999,1", "4000000000,4000000000" })
	void limitsNothingIfTheCountsAreNoCounts(String header) {
		assertThat(request(header).oversize()).isEmpty();
		assertThat(request(header).fits(upstream("a"))).isTrue();
	}

	@Test
	void limitsNothingIfNoCapacityIsPublished() {
		EngineTokens request = new EngineTokens(this.inFlight, "5000,5000", OptionalLong.empty());
		assertThat(request.oversize()).isEmpty();
		request.reserve(upstream("a"));
		assertThat(request.fits(upstream("a"))).isTrue();
	}

}
