package io.bulrushrouter.daemon.config;

import java.io.IOException;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;

import io.bulrushrouter.coordination.configuration.CompressedBody;
import io.bulrushrouter.kernel.BulrushException;
import io.bulrushrouter.kernel.ErrorCode;
import io.bulrushrouter.kernel.UpstreamId;

/**
 * A complete and validated configuration.
 *
 * @param organisations the organisations that may send requests
 * @param upstreams the upstreams that answer requests
 * @param operators the operators that may use the administration API
 */
public record Configuration(List<Organisation> organisations, List<Upstream> upstreams, List<Operator> operators) {

	private static final ObjectMapper JSON = new ObjectMapper()
		.enable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
		.enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES);

	/**
	 * Creates a configuration with unmodifiable copies of the lists; a missing list
	 * becomes empty.
	 */
	public Configuration {
		organisations = (organisations != null) ? List.copyOf(organisations) : List.of();
		upstreams = (upstreams != null) ? List.copyOf(upstreams) : List.of();
		operators = (operators != null) ? List.copyOf(operators) : List.of();
	}

	/**
	 * Parses and validates a configuration.
	 * @param json the JSON text as UTF-8
	 * @return the configuration
	 * @throws BulrushException with {@link ErrorCode#BAD_CONFIGURATION} if the content is
	 * invalid
	 */
	public static Configuration ofJson(byte[] json) {
		try {
			return JSON.readValue(json, Configuration.class).validated();
		}
		catch (IOException ex) {
			throw new BulrushException(ErrorCode.BAD_CONFIGURATION, ex.getMessage(), ex);
		}
	}

	/**
	 * Parses and validates a configuration in the form that the platform stores.
	 * @param stored the compressed JSON
	 * @return the configuration
	 * @throws BulrushException with {@link ErrorCode#BAD_CONFIGURATION} if the content is
	 * invalid
	 */
	public static Configuration ofStored(byte[] stored) {
		return ofJson(CompressedBody.decompress(stored)
			.orElseThrow(() -> new BulrushException(ErrorCode.BAD_CONFIGURATION, "the content is not compressed")));
	}

	/**
	 * Returns the configuration in the form that the platform stores.
	 * @return the compressed JSON
	 */
	public byte[] toStored() {
		return CompressedBody.compress(toJson());
	}

	/**
	 * Returns the configuration as JSON.
	 * @return the text as UTF-8
	 */
	public byte[] toJson() {
		try {
			return JSON.writeValueAsBytes(this);
		}
		catch (JsonProcessingException ex) {
			throw new BulrushException(ErrorCode.INTERNAL, "cannot serialise the configuration", ex);
		}
	}

	private Configuration validated() {
		requireUnique("organisation", this.organisations.stream().map(Organisation::name).toList());
		requireUnique("upstream", this.upstreams.stream().map(Upstream::name).toList());
		requireUnique("operator", this.operators.stream().map(Operator::name).toList());
		requireUnique("key", this.organisations.stream().map(Organisation::keySha256).toList());
		this.upstreams.forEach(Upstream::validate);
		this.organisations.forEach(Organisation::validate);
		this.operators.forEach(Operator::validate);
		return this;
	}

	private static void requireUnique(String kind, List<String> names) {
		Set<String> seen = new HashSet<>();
		for (String name : names) {
			if (name == null || !seen.add(name)) {
				throw new BulrushException(ErrorCode.BAD_CONFIGURATION, kind + " is missing or duplicated: " + name);
			}
		}
	}

	/**
	 * Finds an upstream.
	 * @param id the upstream's identifier
	 * @return the upstream, or empty if there is none with this name
	 */
	public Optional<Upstream> upstream(UpstreamId id) {
		return this.upstreams.stream().filter((upstream) -> upstream.name().equals(id.value())).findFirst();
	}

	/**
	 * Returns the organisations by name.
	 * @return a map from name to organisation
	 */
	public Map<String, Organisation> organisationsByName() {
		Map<String, Organisation> byName = new HashMap<>();
		this.organisations.forEach((organisation) -> byName.put(organisation.name(), organisation));
		return byName;
	}

}
