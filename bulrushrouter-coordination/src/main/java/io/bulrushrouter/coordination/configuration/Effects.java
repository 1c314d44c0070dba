package io.bulrushrouter.coordination.configuration;

import java.util.ArrayList;
import java.util.List;

import io.bulrushrouter.kernel.InstanceId;

/**
 * What a {@link ConfigurationNode} wants done: messages to send, and decisions for the
 * log, of which {@link Adopted} also hands the configuration to the process.
 *
 * @param messages the messages, in order
 * @param decisions the decisions, in order
 */
public record Effects(List<Outgoing> messages, List<Decision> decisions) {

	/**
	 * Checks the parts.
	 */
	public Effects {
		messages = List.copyOf(messages);
		decisions = List.copyOf(decisions);
	}

	/**
	 * A message to another node.
	 *
	 * @param to the node
	 * @param message the message
	 */
	public record Outgoing(InstanceId to, ConfigurationMessage message) {
	}

	/**
	 * What a node decided.
	 */
	public sealed interface Decision {

	}

	/**
	 * A configuration is in force from now on.
	 *
	 * @param document the configuration
	 * @param previousVersion the version that was in force; {@code 0} if none was
	 */
	public record Adopted(ConfigurationMessage.Document document, long previousVersion) implements Decision {
	}

	/**
	 * A configuration was refused, and the one before stays in force.
	 *
	 * @param document the configuration
	 * @param problem what the checker said
	 */
	public record Refused(ConfigurationMessage.Document document, String problem) implements Decision {
	}

	/**
	 * The node may serve from now on.
	 *
	 * @param confirmation what made sure that no later configuration was in force
	 */
	public record Ready(String confirmation) implements Decision {
	}

	/**
	 * Collects effects.
	 */
	static final class Collector {

		private final List<Outgoing> messages = new ArrayList<>();

		private final List<Decision> decisions = new ArrayList<>();

		void send(InstanceId to, ConfigurationMessage message) {
			this.messages.add(new Outgoing(to, message));
		}

		void addDecision(Decision decision) {
			this.decisions.add(decision);
		}

		Effects effects() {
			return new Effects(this.messages, this.decisions);
		}

	}

}
