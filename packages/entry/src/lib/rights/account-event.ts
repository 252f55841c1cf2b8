/** What changes a host's rights on a budget. Amounts are tokens. */
export type AccountEvent =
	| {readonly type: 'reserved'; readonly tokens: number}
	| {readonly type: 'settled'; readonly reserved: number; readonly used: number}
	/** The store confirmed this total, or rights are on their way back to it. */
	| {readonly type: 'granted'; readonly total: number}
	/** Rights go to a peer: up to `share` of what is available. */
	| {readonly type: 'lent'; readonly to: string; readonly tokens: number; readonly share: number}
	/** The last that was given to a peer did not reach it, and never will. */
	| {readonly type: 'not_taken'; readonly by: string; readonly tokens: number}
	/** A peer told what it gave in total. */
	| {readonly type: 'received'; readonly from: string; readonly total: number}
	/** A request of this host asked for tokens, or requests of one that borrows from it did. */
	| {readonly type: 'demanded'; readonly by: 'own_request' | 'client'; readonly tokens: number}
	/** Time has passed. */
	| {readonly type: 'aged'; readonly seconds: number};
