/**
The last part of a budget is kept for its more urgent requests for this long, in seconds of their demand: with it they are still
served after an outage of the store and the death of all hosts that follows, until somebody tops the budget up.
*/
const keptSeconds = 15;

type Inputs = {
	/** What the request needs, in tokens. */
	readonly tokens: number;
	/** What is neither spent nor set aside for open requests of any host, by the newest record, in tokens. */
	readonly uncommitted: number;
	/** The demand on the budget at all hosts, in tokens a second. */
	readonly fleetRate: number;
	/** The part of this host's demand that comes from more urgent requests, 0 to 1. */
	readonly urgentShare: number;
	/** What such a request needs, in tokens, in the mean. */
	readonly urgentMeanTokens: number;
};

/**
Decides whether a request is turned away since what is left of its budget is kept for more urgent ones. Pure.

Only a request that needs at least as much as one of those is: each one that is turned away then leaves room for at least one that
the operators rank higher, and small requests go on being served to the end.
*/
export const isKeptForUrgent = ({tokens, uncommitted, fleetRate, urgentShare, urgentMeanTokens}: Inputs): boolean =>
	urgentShare > 0 && tokens >= urgentMeanTokens && uncommitted - tokens < fleetRate * urgentShare * keptSeconds;
