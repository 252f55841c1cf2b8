import type {RightsSource} from './rights-source.js';

/** The order in which sources are tried. Each is tried once for a request. */
const order: readonly RightsSource[] = ['allocators', 'store', 'holders'];

type Inputs = {
	/** The source that was tried last; `undefined` before the first. */
	readonly last: RightsSource | undefined;
	/** Whether this host is about to stop: it borrows nothing more. */
	readonly isRetiring: boolean;
	/** Whether this host draws the budget's rights itself. */
	readonly isAllocator: boolean;
	/** Whether an allocator answered that reaches the store: it drew what there is, and a second writer would only be in its way. */
	readonly hasReachedStore: boolean;
	/** Whether a draw may bring something now. */
	readonly mayDraw: boolean;
};

/** Decides where a request that lacks rights looks for them next; `undefined` when no source is left. Pure. */
export const decideRightsSource = ({last, isRetiring, isAllocator, hasReachedStore, mayDraw}: Inputs): RightsSource | undefined => {
	const isOpen: Readonly<Record<RightsSource, boolean>> = {
		allocators: !isRetiring && !isAllocator,
		store: !hasReachedStore && mayDraw,
		holders: !isRetiring,
	};
	const rest = last === undefined ? order : order.slice(order.indexOf(last) + 1);
	return rest.find(source => isOpen[source]);
};
