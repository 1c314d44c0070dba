package io.bulrushrouter.request;

import java.util.Objects;

import io.bulrushrouter.kernel.AttemptId;
import io.bulrushrouter.kernel.ErrorCode;

/**
 * An event of the attempts at one sidecar.
 */
public sealed interface SidecarEvent {

	/**
	 * An attempt from an entry was received.
	 *
	 * @param connection the entry's connection
	 * @param addressedIncarnation the sidecar incarnation that the entry addressed, from
	 * the connection's handshake
	 * @param call the message that starts the attempt
	 */
	record CallReceived(long connection, long addressedIncarnation, CallMessage.Call call) implements SidecarEvent {

		/**
		 * Validates the components.
		 */
		public CallReceived {
			Objects.requireNonNull(call);
		}

	}

	/**
	 * An entry cancelled an attempt.
	 *
	 * @param connection the entry's connection
	 * @param cancel the message that cancels the attempt
	 */
	record CancelReceived(long connection, CallMessage.Cancel cancel) implements SidecarEvent {
	}

	/**
	 * A connection to an entry was lost.
	 *
	 * @param connection the connection
	 */
	record EntryConnectionLost(long connection) implements SidecarEvent {
	}

	/**
	 * The engine sent the head of its response.
	 *
	 * @param attempt the attempt that runs
	 * @param status the HTTP status
	 * @param contentType the HTTP content type
	 * @param modelVersion the model version that generates the response; empty if the
	 * engine does not report it
	 */
	record EngineHead(AttemptId attempt, int status, String contentType, String modelVersion) implements SidecarEvent {

		/**
		 * Creates the head of a response from an engine that does not report its model
		 * version.
		 * @param attempt the attempt that runs
		 * @param status the HTTP status
		 * @param contentType the HTTP content type
		 */
		public EngineHead(AttemptId attempt, int status, String contentType) {
			this(attempt, status, contentType, "");
		}

	}

	/**
	 * The engine sent a part of the response body.
	 *
	 * @param attempt the attempt that runs
	 * @param bytes the part; in a stream it consists of whole events
	 * @param tokens the number of generated tokens in the part
	 */
	record EngineData(AttemptId attempt, byte[] bytes, int tokens) implements SidecarEvent {
	}

	/**
	 * The engine's response is complete.
	 *
	 * @param attempt the attempt that ran
	 */
	record EngineEnd(AttemptId attempt) implements SidecarEvent {
	}

	/**
	 * The engine ended an attempt without a complete response, which includes cancelled
	 * attempts.
	 *
	 * @param attempt the attempt
	 * @param code the error
	 * @param mayHaveRun false only if no byte of the request was sent to the engine
	 */
	record EngineFailed(AttemptId attempt, ErrorCode code, boolean mayHaveRun) implements SidecarEvent {
	}

	/**
	 * The claim of a non-idempotent request's idempotency key was settled.
	 *
	 * @param attempt the attempt that claimed the key
	 * @param outcome the outcome of the claim
	 */
	record ClaimSettled(AttemptId attempt, ClaimOutcome outcome) implements SidecarEvent {
	}

	/**
	 * The engine loaded another model, adapter or version, so cached responses to reads
	 * are out of date.
	 */
	record EngineChanged() implements SidecarEvent {
	}

	/**
	 * The sidecar has learnt that its upstream is not leaving and may accept attempts.
	 */
	record AdmissionOpened() implements SidecarEvent {
	}

	/**
	 * The upstream is leaving and has to drain. The sidecar learns it from the live list,
	 * an order, a signal or its engine, whichever comes first.
	 */
	record DrainRequested() implements SidecarEvent {
	}

	/**
	 * The time of {@link SidecarCalls#nextWakeNanos()} was reached.
	 */
	record Tick() implements SidecarEvent {
	}

}
