package io.bulrushrouter.coordination.configuration;

import java.util.List;
import java.util.Objects;

/**
 * The messages by which nodes propagate configurations and report their status.
 */
public sealed interface ConfigurationMessage {

	/**
	 * A digest of the sender's versions, for comparison with those of the receiver.
	 *
	 * @param ready whether the sender is ready, so that joining nodes may rely on its
	 * versions
	 * @param replyWanted whether the receiver should reply with its own digest if it has
	 * a higher version in force or the sender is not ready
	 * @param scopes the versions of each scope
	 */
	record Digest(boolean ready, boolean replyWanted, List<ScopeState> scopes) implements ConfigurationMessage {

		/**
		 * Validates the components.
		 */
		public Digest {
			scopes = List.copyOf(scopes);
		}

	}

	/**
	 * Requests a document.
	 *
	 * @param scope the scope
	 * @param above the version that the sender has; only a higher version is sent in
	 * reply
	 */
	record Request(String scope, long above) implements ConfigurationMessage {

		/**
		 * Validates the components.
		 */
		public Request {
			Objects.requireNonNull(scope);
		}

	}

	/**
	 * A complete configuration.
	 *
	 * @param scope the scope
	 * @param version the version assigned by the platform
	 * @param body the content, which must not be modified
	 */
	record Document(String scope, long version, byte[] body) implements ConfigurationMessage {

		/**
		 * Validates the components.
		 */
		public Document {
			Objects.requireNonNull(scope);
			Objects.requireNonNull(body);
		}

	}

	/**
	 * Reports the sender's status to a relay.
	 *
	 * @param status the status
	 */
	record Status(NodeStatus status) implements ConfigurationMessage {

		/**
		 * Validates the components.
		 */
		public Status {
			Objects.requireNonNull(status);
		}

	}

	/**
	 * Requests from a relay the statuses of the nodes in its data centre.
	 */
	record StatusQuery() implements ConfigurationMessage {
	}

	/**
	 * A relay's response to {@link StatusQuery}.
	 *
	 * @param nodes the statuses that it has received
	 */
	record StatusReport(List<NodeStatus> nodes) implements ConfigurationMessage {

		/**
		 * Validates the components.
		 */
		public StatusReport {
			nodes = List.copyOf(nodes);
		}

	}

}
