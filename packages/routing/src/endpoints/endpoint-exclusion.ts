/** Why an endpoint may not be sent a request. */
export type EndpointExclusion = {
	readonly reason:
		/** It is no longer listed. */
		| 'unlisted'
		| 'other_service'
		/** It ends before long. */
		| 'leaving'
		/** Its hall is to get nothing, by order of the operators. */
		| 'evacuated'
		/** The route or the organisation is not to leave its regions. */
		| 'other_region'
		/** Its hall was found out of reach. */
		| 'out_of_reach'
		/** It failed several times in a row, or its probe after that is under way. */
		| 'ejected'
		/** It asked for rest. */
		| 'resting'
		/** It limits the requests of all hosts together, and others have the permits. */
		| 'limited'
		/** It warms up, and another request of this host or another host has its place. */
		| 'cold';
	/** When it is open again, in monotonic ms, where that is known. */
	readonly until?: number;
};
