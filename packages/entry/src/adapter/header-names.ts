/** Names of the HTTP headers that callers, hosts and endpoints use, in lower case. */
export type HeaderNames = {
	readonly requestId: string;
	/** How long the caller still waits for the response, in ms. */
	readonly deadline: string;
	readonly apiKey: string;
	readonly organisation: string;
	/** Set by an endpoint in its responses: proves that the endpoint made the response. */
	readonly stamp: string;
	/** Set in the response to a request that was not run. */
	readonly notRun: string;
	/** `1` in the responses of an endpoint that will shut down soon. */
	readonly leaving: string;
	/** The requests a second that an endpoint accepts from all hosts together while its responses carry this header, as a decimal number. */
	readonly requestLimit: string;
	/** How many requests a second an endpoint may turn away before it crashes, while its responses carry this header, as a decimal number. */
	readonly brittleness: string;
	/** The `instance` of the endpoint that a request is meant for; any other endpoint responds with 421. */
	readonly expectedEndpoint: string;
	/** The `instance` of the endpoint that answers, in its answer to a question for its health. */
	readonly instance: string;
	/** How urgent a request is among those at its endpoint, as a whole number from 0 (most urgent) to 9. Endpoints that know no urgency ignore it. */
	readonly urgency: string;
	/** The tokens of the prompt and the most tokens of the output, as `1460,80`. */
	readonly tokenCount: string;
	/** The parts of the prompt in order, with their tokens, as `ID:TOKENS,ID:TOKENS`. */
	readonly prefix: string;
	/** The last event of a stream that the caller has received, after which an endpoint resumes the stream. */
	readonly lastEventId: string;
	/** The id of the attempt that brought the caller the first event of the stream that this request takes up. */
	readonly resumes: string;
	/** Headers that callers may not set: hosts do not forward them. */
	readonly reserved: readonly string[];
};
