/** The load of one endpoint, as far as a host knows it. */
export type EndpointLoad = {
	/** Requests open at the endpoint: those of this host, and those of other hosts as they were last reported. */
	readonly open: number;
	/** Prompt tokens that hosts have sent to the endpoint and that it has not prefilled yet, counted as `open` is. */
	readonly pendingPromptTokens: number;
	/** The endpoint's time per output token, as a multiple of the typical time at the endpoints of its service; 1 where it is unknown. */
	readonly pace: number;
	/** How old the reports of other hosts are, in ms; `undefined` where there are none, and `open` counts this host's requests only. */
	readonly ageMs: number | undefined;
};
