/**
How much of a nearly used-up budget is kept for its more urgent requests, in seconds of their demand. With it they are still served after
an outage of the store and a crash of all hosts that follows, until an operator tops the budget up.
*/
const keptSeconds = 15;

type Inputs = {
	/** What the request needs, in tokens. */
	readonly tokens: number;
	/** Tokens that are neither spent nor reserved for open requests of any host, by the newest record of the store. */
	readonly uncommitted: number;
	/** The demand on the budget at all hosts, in tokens per second. */
	readonly fleetRate: number;
	/** The part of this host's demand that comes from more urgent requests, 0 to 1. */
	readonly urgentShare: number;
	/** The mean tokens of such a more urgent request. */
	readonly urgentMeanTokens: number;
};

/**
Decides whether a request is refused because what is left of its budget is kept for more urgent requests. Pure.

Only a request that needs at least as many tokens as the mean of the more urgent ones is refused. Each refused request then leaves enough
tokens for at least one request that operators give a higher priority, and small requests are served until the budget is used up.
*/
export const isKeptForUrgent = ({tokens, uncommitted, fleetRate, urgentShare, urgentMeanTokens}: Inputs): boolean =>
	urgentShare > 0 && tokens >= urgentMeanTokens && uncommitted - tokens < fleetRate * urgentShare * keptSeconds;
