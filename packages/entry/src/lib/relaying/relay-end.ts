/** How the relay of a stream to its caller ended, and how far it got. */
export type RelayEnd = {
	/** `whole`: the endpoint ended the stream after a complete event. `broken`: the stream broke off before. `caller_left`: the caller closed its connection. */
	readonly type: 'whole' | 'broken' | 'caller_left';
	/** Whether it was broken off since this host had no room to hold more of an event. */
	readonly lacksRoom?: boolean;
	/** The id of the last event that was relayed to the caller, by this run or an earlier one; `undefined` if none had an id. */
	readonly lastId: string | undefined;
	/** Number of complete events that this run relayed. */
	readonly count: number;
};
