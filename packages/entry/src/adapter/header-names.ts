/** Names of the headers that callers, hosts and endpoints use, in lower case. */
export type HeaderNames = {
	readonly requestId: string;
	/** Milliseconds that the caller still waits. */
	readonly deadline: string;
	readonly apiKey: string;
	readonly organisation: string;
	/** Proof that an endpoint made this answer. */
	readonly stamp: string;
	/** Said by an endpoint that did not run the request. */
	readonly notRun: string;
	/** `1` in the answers of an endpoint that ends before long. */
	readonly leaving: string;
	/** Requests a second, as a decimal number, that an endpoint takes from all hosts together for as long as it says so. */
	readonly requestLimit: string;
	/** The endpoint that a request is meant for; any other answers 421. */
	readonly expectedEndpoint: string;
	readonly tokenCount: string;
	readonly prefix: string;
	readonly lastEventId: string;
	/** Headers that callers may not set. */
	readonly reserved: readonly string[];
};
