package io.bulrushrouter.coordination.configuration;

import java.util.ArrayList;
import java.util.List;

import io.bulrushrouter.kernel.InstanceId;

/**
 * The outputs of a {@link ConfigurationNode}: messages to send, and decisions to log. For
 * {@link Adopted}, the process must also apply the configuration.
 *
 * @param messages the messages, in order
 * @param decisions the decisions, in order
 */
public record Effects(List<Outgoing> messages, List<Decision> decisions) {

	/**
	 * Makes defensive copies of the lists.
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
	 * A decision of a node.
	 */
	public sealed interface Decision {

	}

	/**
	 * The node adopted a configuration, which is now in force.
	 *
	 * @param document the configuration
	 * @param previousVersion the version that was in force before; {@code 0} if there was
	 * none
	 */
	public record Adopted(ConfigurationMessage.Document document, long previousVersion) implements Decision {
	}

	/**
	 * The node refused a configuration; the previous one stays in force.
	 *
	 * @param document the configuration
	 * @param problem the reason given by the checker
	 */
	public record Refused(ConfigurationMessage.Document document, String problem) implements Decision {
	}

	/**
	 * The node became ready to serve requests.
	 *
	 * @param confirmation who confirmed that the node has the latest configuration:
	 * {@code platform}, or the number of peers
	 */
	public record Ready(String confirmation) implements Decision {
	}

	/**
	 * Collects the messages and decisions of one call.
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
