package io.bulrushrouter.request;

import java.util.Objects;

import io.bulrushrouter.kernel.AttemptId;
import io.bulrushrouter.kernel.ErrorCode;

/**
 * What happens to the attempts at one sidecar.
 */
public sealed interface SidecarEvent {

	/**
	 * An entry sent an attempt.
	 *
	 * @param connection the entry's connection
	 * @param addressedIncarnation the sidecar incarnation that the entry meant, as its
	 * connection's greeting named it
	 * @param call the attempt
	 */
	record CallReceived(long connection, long addressedIncarnation, CallMessage.Call call) implements SidecarEvent {

		/**
		 * Checks the parts.
		 */
		public CallReceived {
			Objects.requireNonNull(call);
		}

	}

	/**
	 * An entry takes an attempt back.
	 *
	 * @param connection the entry's connection
	 * @param cancel the attempt
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
	 * The engine's status came.
	 *
	 * @param attempt the attempt that runs
	 * @param status the HTTP status
	 * @param contentType the HTTP content type
	 * @param modelVersion the version that answers; empty if the engine does not tell
	 */
	record EngineHead(AttemptId attempt, int status, String contentType, String modelVersion) implements SidecarEvent {

		/**
		 * Creates the head of an answer by an engine that does not tell its version.
		 * @param attempt the attempt that runs
		 * @param status the HTTP status
		 * @param contentType the HTTP content type
		 */
		public EngineHead(AttemptId attempt, int status, String contentType) {
			this(attempt, status, contentType, "");
		}

	}

	/**
	 * A part of the engine's answer came.
	 *
	 * @param attempt the attempt that runs
	 * @param bytes the part; in a stream it holds whole events
	 * @param tokens the generated tokens in it
	 */
	record EngineData(AttemptId attempt, byte[] bytes, int tokens) implements SidecarEvent {
	}

	/**
	 * The engine's answer is whole.
	 *
	 * @param attempt the attempt that ran
	 */
	record EngineEnd(AttemptId attempt) implements SidecarEvent {
	}

	/**
	 * The engine ended an attempt without a whole answer, also after it was cancelled.
	 *
	 * @param attempt the attempt
	 * @param code why
	 * @param mayHaveRun false only if no byte of the request left for the engine
	 */
	record EngineFailed(AttemptId attempt, ErrorCode code, boolean mayHaveRun) implements SidecarEvent {
	}

	/**
	 * The claim of a non-idempotent request's key was decided.
	 *
	 * @param attempt the attempt that asked for it
	 * @param outcome what was decided
	 */
	record ClaimSettled(AttemptId attempt, ClaimOutcome outcome) implements SidecarEvent {
	}

	/**
	 * The engine loaded another model, adapter or version: its kept answers to reads are
	 * no longer what it would say.
	 */
	record EngineChanged() implements SidecarEvent {
	}

	/**
	 * The sidecar knows that its upstream does not leave, and may take attempts.
	 */
	record AdmissionOpened() implements SidecarEvent {
	}

	/**
	 * The first sign that the upstream leaves: the live list, an order, a signal or its
	 * engine's word.
	 */
	record DrainRequested() implements SidecarEvent {
	}

	/**
	 * Time passed.
	 */
	record Tick() implements SidecarEvent {
	}

}
