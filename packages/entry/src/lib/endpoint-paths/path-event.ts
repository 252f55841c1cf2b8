/** An event that bears on the links of a host to a group of endpoints. Connections through peers bring none. */
export type PathEvent =
	/** The endpoints of the group were listed anew. */
	| {readonly type: 'listed'; readonly endpoints: ReadonlySet<string>}
	/** Bytes came over a connection of this host to an endpoint. */
	| {readonly type: 'heard'}
	/** A connection of this host to an endpoint came up. */
	| {readonly type: 'connected'; readonly endpoint: string}
	/** A connection of this host to an endpoint failed, and a peer reached the endpoint. */
	| {readonly type: 'lost'; readonly endpoint: string}
	/** All open connections of this host were silent, a new one failed, and a peer reached the endpoint. */
	| {readonly type: 'silence_confirmed'; readonly endpoint: string}
	/**
	Time passed. `oldestSentAt`: when the oldest open attempt over a connection of this host began, in monotonic ms; `undefined` if none is open.
	`endpointCount`: at how many endpoints such attempts are open.
	*/
	| {readonly type: 'ticked'; readonly oldestSentAt: number | undefined; readonly endpointCount: number}
	/** A probe of the group ended. `hasConnected`: whether it reached an endpoint, of which events came before. */
	| {readonly type: 'probe_ended'; readonly hasConnected: boolean};
