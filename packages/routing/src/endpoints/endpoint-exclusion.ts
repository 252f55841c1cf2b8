/** Why an endpoint must not be sent a request. */
export type EndpointExclusion = {
	readonly reason:
		/** The endpoint is no longer listed. */
		| 'unlisted'
		/** The endpoint does not serve the model or service that the request asks for. */
		| 'other_service'
		/** The endpoint's software is of another version than the one that began the stream. */
		| 'other_version'
		/** The endpoint will shut down soon. */
		| 'leaving'
		/** The operators ordered that the endpoint's hall gets no requests. */
		| 'evacuated'
		/** The endpoint's region is not among those that the request's route or organisation allows. */
		| 'other_region'
		/** This host cannot reach the endpoint's hall. */
		| 'out_of_reach'
		/** The endpoint failed several times in a row, or the one request that probes it after the ejection is still in flight. */
		| 'ejected'
		/** The endpoint asked for a backoff. */
		| 'resting'
		/** The endpoint limits the requests of all hosts together, and the permits for this host are used up. */
		| 'limited'
		/** The endpoint warms up, and this host may not send to it at all meanwhile, or not yet again after its last request. */
		| 'cold'
		/** The endpoint's process has ended, as this or another host found; the list may still contain it. Nothing else excludes it. */
		| 'ended';
	/** The instant at which the exclusion ends, in monotonic ms; `undefined` where more than the passing of time is needed to end it. */
	readonly until?: number;
};
