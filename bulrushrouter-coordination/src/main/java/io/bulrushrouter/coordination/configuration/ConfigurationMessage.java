package io.bulrushrouter.coordination.configuration;

import java.util.List;
import java.util.Objects;

/**
 * The messages that nodes exchange about configurations.
 */
public sealed interface ConfigurationMessage {

	/**
	 * The versions at the sender.
	 *
	 * @param ready whether the sender serves, so that its word counts for nodes that join
	 * @param replyWanted whether the receiver answers with its own digest where it knows
	 * something higher, or the sender is not ready
	 * @param scopes the versions, by scope
	 */
	record Digest(boolean ready, boolean replyWanted, List<ScopeState> scopes) implements ConfigurationMessage {

		/**
		 * Checks the parts.
		 */
		public Digest {
			scopes = List.copyOf(scopes);
		}

	}

	/**
	 * Asks for a document.
	 *
	 * @param scope the scope
	 * @param above the version that the sender has; the answer is a higher one
	 */
	record Request(String scope, long above) implements ConfigurationMessage {

		/**
		 * Checks the parts.
		 */
		public Request {
			Objects.requireNonNull(scope);
		}

	}

	/**
	 * A configuration, whole.
	 *
	 * @param scope the scope
	 * @param version the version that the platform gave it
	 * @param body the content, which nobody changes
	 */
	record Document(String scope, long version, byte[] body) implements ConfigurationMessage {

		/**
		 * Checks the parts.
		 */
		public Document {
			Objects.requireNonNull(scope);
			Objects.requireNonNull(body);
		}

	}

	/**
	 * Tells a relay the versions in force at the sender.
	 *
	 * @param status the versions
	 */
	record Status(NodeStatus status) implements ConfigurationMessage {

		/**
		 * Checks the parts.
		 */
		public Status {
			Objects.requireNonNull(status);
		}

	}

	/**
	 * Asks a relay for the statuses of its data centre.
	 */
	record StatusQuery() implements ConfigurationMessage {
	}

	/**
	 * A relay's answer to {@link StatusQuery}.
	 *
	 * @param nodes the statuses that it has heard
	 */
	record StatusReport(List<NodeStatus> nodes) implements ConfigurationMessage {

		/**
		 * Checks the parts.
		 */
		public StatusReport {
			nodes = List.copyOf(nodes);
		}

	}

}
