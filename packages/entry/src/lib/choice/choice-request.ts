import type {PromptPart} from '../admission/prompt-part.js';

/** The part of a request that the choice of an endpoint depends on. */
export type ChoiceRequest = {
	/** The name of the service that the request goes to. */
	readonly service: string;
	/** The parts of the request's prompt, in order; empty for a request without a prompt. */
	readonly parts: readonly PromptPart[];
	/** Identifiers of the endpoints that the request has already been sent to. */
	readonly tried: readonly string[];
	/** Halls in which an earlier attempt of the request could not connect to an endpoint. */
	readonly avoidedHalls: readonly string[];
	/** The software version that began the stream that the request goes on with; `undefined` for any other request. */
	readonly version?: string;
	/** Sets of allowed regions; the endpoint's region must be in every set. */
	readonly regions: ReadonlyArray<readonly string[]>;
};
