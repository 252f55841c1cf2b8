import type {PriorityShare} from './priority-share.js';
import type {Priority} from './priority.js';
import type {QueuedRequest} from './queued-request.js';

/** The state of a host's bounded request queue. */
export type QueueState = {
	readonly waiting: readonly QueuedRequest[];
	/** How the starts of each priority are shared among organisations. */
	readonly shares: Readonly<Record<Priority, PriorityShare>>;
	/** The credit of each priority in a smooth weighted round robin. The priority with the most credit starts next. */
	readonly credit: Readonly<Record<Priority, number>>;
	/** The smoothed interval between two starts of requests while requests wait, in ms. */
	readonly msPerStart: number;
	/** When a request of the queue last started, in monotonic ms; 0 before the first start. */
	readonly lastStartedAt: number;
};
